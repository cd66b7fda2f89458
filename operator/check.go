// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"sassafrasfront.example/route"
)

// FieldError is an error in one field.
type FieldError struct {
	// Field is the path of the field.
	Field string `json:"field"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// FieldErrors are all errors of one resource. They are an error if there are any.
type FieldErrors []FieldError

// Error implements the error interface.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Field + ": " + x.Message
	}
	return strings.Join(lines, "; ")
}

// add appends an error for the field unless ok.
func (e *FieldErrors) add(ok bool, field, format string, args ...any) {
	if !ok {
		*e = append(*e, FieldError{
			Field:   field,
			Message: fmt.Sprintf(format, args...),
		})
	}
}

// within appends an error for the field unless low <= v <= high.
func within[T int | int64 | float64 | Duration](errs *FieldErrors, field string, v, low, high T) {
	errs.add(v >= low && v <= high, field, "%v is not within %v and %v", text(v), text(low), text(high))
}

// text returns v in the form in which an operator writes it.
func text(v any) any {
	if d, ok := v.(Duration); ok {
		return d.Std()
	}
	return v
}

// The bounds of a Service's fields.
const (
	maxHosts = 64
	// MaxClasses is the largest number of classes that a service may have.
	MaxClasses = 16
	maxTimeout = Duration(time.Hour)
	// maxCrossingCost bounds the cost of another zone, in service times.
	maxCrossingCost    = 100.0
	maxWait            = Duration(10 * time.Second)
	maxRetention       = Duration(7 * 24 * time.Hour)
	maxBodyBytes       = int64(1) << 40
	maxQueueLength     = 10000
	maxAttempts        = 10
	maxWritesPerSecond = 100.0
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?(\.[a-z0-9]([-a-z0-9]*[a-z0-9])?)*$`)
)

// CheckName returns the errors in the name of a service.
func CheckName(name string) FieldErrors {
	var errs FieldErrors
	errs.add(namePattern.MatchString(name), "metadata.name", "%q is not a name of at most 63 lower-case letters, digits and dashes", name)
	return errs
}

// Check returns the errors in s, whose defaults have to be filled in.
func (s Service) Check() FieldErrors {
	var errs FieldErrors
	errs.add(len(s.Hosts) > 0 && len(s.Hosts) <= maxHosts, "hosts", "%d hosts are not within 1 and %d", len(s.Hosts), maxHosts)
	for i, h := range s.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		ok := len(h) <= 253 && (hostPattern.MatchString(h) || net.ParseIP(h) != nil)
		errs.add(ok, field, "%q is not a lower-case host name without a port", h)
		errs.add(!slices.Contains(s.Hosts[:i], h), field, "%q is there twice", h)
	}
	s.checkClasses(&errs)
	within(&errs, "timeout", s.Timeout, Duration(time.Millisecond), maxTimeout)
	within(&errs, "maxBody", s.MaxBodyBytes, 0, maxBodyBytes)
	within(&errs, "queue.length", s.Queue.MaxLength, 0, maxQueueLength)
	within(&errs, "queue.wait", s.Queue.MaxWait, 0, maxWait)
	within(&errs, "queue.slowStart", s.Queue.SlowStart, 0, maxTimeout)
	within(&errs, "serviceTime", s.ServiceTime, 0, maxTimeout)
	within(&errs, "retry.maxTries", s.Retry.MaxAttempts, 1, maxAttempts)
	within(&errs, "retry.share", s.Retry.Ratio, 0, 1)
	within(&errs, "retry.burst", s.Retry.Burst, 0, maxQueueLength)
	within(&errs, "retry.window", s.Retry.Window, 0, Duration(time.Hour))
	within(&errs, "hedge.share", s.Hedge.Ratio, 0, 0.5)
	within(&errs, "hedge.quantile", s.Hedge.Quantile, 0.5, 0.999)
	within(&errs, "hedge.minDelay", s.Hedge.MinDelay, 0, maxWait)
	within(&errs, "resend.writesPerSecond", s.Resend.WritesPerSecond, 0, maxWritesPerSecond)
	within(&errs, "resend.keep", s.Resend.Retention, Duration(time.Minute), maxRetention)
	within(&errs, "retry.reserve", s.Retry.ReservedFraction, 0, 1)
	within(&errs, "hedge.part", s.Hedge.BudgetFraction, 0, 1)
	within(&errs, "zoneCost", s.ZoneCost, 0, maxWait)
	within(&errs, "crossing", s.ZoneCrossingCost, 0, maxCrossingCost)
	within(&errs, "regionCost", s.RegionCost, 0, maxWait)
	_, ok := route.ByName(s.Policy)
	errs.add(ok, "policy", "%q is not twoChoice, random, roundRobin, leastOutstanding or hotCold", s.Policy)
	return errs
}

func (s Service) checkClasses(errs *FieldErrors) {
	errs.add(len(s.Classes) <= MaxClasses, "classes", "%d classes are over %d", len(s.Classes), MaxClasses)
	seen := make(map[string]bool)
	for i, c := range s.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		errs.add(namePattern.MatchString(c.Name), field+".name", "%q is not a name of lower-case letters, digits and dashes", c.Name)
		errs.add(!seen[c.Name], field+".name", "%q is there twice", c.Name)
		seen[c.Name] = true
		within(errs, field+".weight", c.Weight, 0.001, 1000)
		within(errs, field+".maxShare", c.MaxShare, 0.01, 1)
		within(errs, field+".wait", c.MaxWait, 0, maxWait)
		within(errs, field+".objective", c.Objective, 0, maxTimeout)
		errs.add(c.Value == "" || c.Header != "", field+".value", "a value needs a header")
		for j, h := range c.Hosts {
			errs.add(slices.Contains(s.Hosts, h), fmt.Sprintf("%s.hosts[%d]", field, j), "%q is not among the service's hosts", h)
		}
	}
}
