// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"

	"sassafrasfront.example/route"
)

// SettingError is an error in one setting.
type SettingError struct {
	// Key is the name of the setting.
	Key string
	// File and Line are where it was set, if that was in a file.
	File string
	Line int
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the error as one line.
func (e SettingError) String() string {
	where := e.Key
	if e.File != "" {
		where = fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Key)
	}
	return where + ": " + e.Message
}

// SettingErrors are all errors in the settings. They are an error if there are any.
type SettingErrors []SettingError

// Error implements the error interface.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9.]{0,61}[a-z0-9])?$`)

// checker collects errors.
type checker struct {
	errs SettingErrors
}

func (c *checker) add(ok bool, key, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, SettingError{
			Key:     key,
			Message: fmt.Sprintf(format, args...),
		})
	}
}

func (c *checker) name(key, v string) {
	c.add(namePattern.MatchString(v), key, "%q is not a name of at most 63 lower-case letters, digits, dots and dashes", v)
}

func (c *checker) address(key, v string, loopback bool) {
	host, port, err := net.SplitHostPort(v)
	ip := net.ParseIP(host)
	c.add(err == nil && ip != nil && port != "", key, "%q is not an IP address and port", v)
	c.add(err != nil || ip == nil || !loopback || ip.IsLoopback(), key, "%q is not on loopback", v)
}

func (c *checker) url(key, v string) {
	u, err := url.Parse(v)
	c.add(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", key, "%q is not an http or https URL", v)
}

func within[T int | float64 | time.Duration](c *checker, key string, v, low, high T) {
	c.add(v >= low && v <= high, key, "%v is not within %v and %v", v, low, high)
}

// Check returns the errors in s.
func (s *Settings) Check() SettingErrors {
	c := new(checker)
	c.name("node", s.Node)
	c.name("region", s.Region)
	c.name("zone", s.Zone)
	c.name("namespace", s.Namespace)
	c.address("callerAddress", s.CallerAddress, false)
	c.address("peerAddress", s.PeerAddress, false)
	if s.AdvertisedPeerAddress != "" {
		c.address("advertisedPeerAddress", s.AdvertisedPeerAddress, false)
	}
	c.address("announceAddress", s.AnnounceAddress, s.Dialect == DialectNative)
	c.address("operatorAddress", s.OperatorAddress, false)
	if s.PlatformURL != "" || s.Peers == "" {
		c.url("platformURL", s.PlatformURL)
	}
	for _, p := range s.PeerList() {
		c.address("peers", p, false)
	}
	for _, a := range split(s.Seeds) {
		c.address("seeds", a, false)
	}
	if s.TraceURL != "" {
		c.url("traceURL", s.TraceURL)
	}
	c.add(s.Dialect == DialectNative || s.Dialect == DialectManaged, "dialect", "%q is not %s or %s", s.Dialect, DialectNative, DialectManaged)
	if s.UpstreamAddress != "" {
		c.address("upstreamAddress", s.UpstreamAddress, false)
	}
	within(c, "heartbeat", s.Heartbeat, 0, time.Hour)
	within(c, "configWithin", s.ConfigWithin, 500*time.Millisecond, time.Hour)
	c.add(s.RolloutShare >= 0 && s.RolloutShare <= 0.5, "rolloutShare", "%v is not within 0 and 0.5", s.RolloutShare)
	c.add(s.RolloutShare == 0 || s.RollbackWithin >= time.Second && s.RollbackWithin <= time.Hour, "rollbackWithin", "%v is not within 1s and 1h", s.RollbackWithin)
	c.add(s.EvacuateWithin == 0 || s.EvacuateWithin >= 500*time.Millisecond && s.EvacuateWithin <= time.Hour, "evacuateWithin", "%v is not 0, nor within 500ms and 1h", s.EvacuateWithin)
	within(c, "coldRatio", s.ColdRatio, 0, 100)
	within(c, "coldSlack", s.ColdSlack, 0, 1e6)
	c.add(s.RevokeWithin == 0 || s.RevokeWithin >= time.Second && s.RevokeWithin <= time.Hour, "revokeWithin", "%v is not 0, nor within 1s and 1h", s.RevokeWithin)
	within(c, "quotaWindow", s.QuotaWindow, time.Second, time.Hour)
	within(c, "quotaOverage", s.QuotaOverage, 0, 10)
	within(c, "quotaSlack", s.QuotaSlack, 0, 1e6)
	within(c, "retryRatio", s.RetryRatio, 0, 10)
	within(c, "retrySlack", s.RetrySlack, 0, 1e6)
	within(c, "retryWindow", s.RetryWindow, time.Second, time.Hour)
	within(c, "linkMbps", s.LinkMbps, 0, 1e6)
	within(c, "memoryMB", s.MemoryMB, 0, 1<<20)
	within(c, "callerMemoryMB", s.CallerMemoryMB, 0, 1<<20)
	c.add(s.MemoryMB == 0 || s.CallerMemoryMB <= s.MemoryMB, "callerMemoryMB", "%d is more than memoryMB, %d", s.CallerMemoryMB, s.MemoryMB)
	within(c, "descriptors", s.Descriptors, 0, 1<<20)
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	c.add(levels[s.LogLevel], "logLevel", "%q is not debug, info, warn or error", s.LogLevel)
	within(c, "traceSample", s.TraceSample, 0, 1)
	within(c, "reportBytes", s.ReportBytes, 0, 1<<20)
	within(c, "controlBytes", s.ControlBytes, 1000, 1<<20)
	within(c, "platformCalls", s.PlatformCalls, 1, 1000)
	within(c, "lease", s.Lease, 500*time.Millisecond, 10*time.Minute)
	within(c, "patience", s.Patience, time.Second, 24*time.Hour)
	c.add(s.GracePeriod == 0 || s.GracePeriod >= 2*ExitReserve && s.GracePeriod <= time.Hour, "gracePeriod", "%v is not 0, nor within %v and 1h", s.GracePeriod, 2*ExitReserve)
	within(c, "drainTimeout", s.DrainTimeout, 0, time.Hour)
	within(c, "leaveDelay", s.LeaveDelay, 0, time.Minute)
	within(c, "admitDelay", s.AdmitDelay, 0, s.LeaveDelay)
	within(c, "maxHeaderBytes", s.MaxHeaderBytes, 1<<10, 1<<20)
	within(c, "processors", s.Processors, 0, 1024)
	_, ok := route.ByName(s.Policy)
	c.add(ok, "policy", "%q is not twoChoice, random, roundRobin, leastOutstanding or hotCold", s.Policy)
	return c.errs
}

// PeerList returns the addresses in Peers.
func (s *Settings) PeerList() []string { return split(s.Peers) }

// FirstPeers returns the addresses in Peers and the peer addresses of the nodes in Seeds.
func (s *Settings) FirstPeers() []string {
	list := s.PeerList()
	_, port, err := net.SplitHostPort(s.EffectivePeerAddress())
	if err != nil {
		return list // Check reports the error
	}
	for _, a := range split(s.Seeds) {
		if host, _, err := net.SplitHostPort(a); err == nil {
			list = append(list, net.JoinHostPort(host, port))
		}
	}
	return list
}

// split returns the elements of a comma-separated list, without surrounding space.
func split(text string) []string {
	var list []string
	for p := range strings.SplitSeq(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			list = append(list, p)
		}
	}
	return list
}
