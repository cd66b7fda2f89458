// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/settings"
)

const good = "node: a\nregion: r\nzone: z\nplatformURL: http://127.0.0.1:1\n"

func read(t *testing.T, yaml string, args ...string) (*settings.Settings, error) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "node.yaml")
	qt.Assert(t, os.WriteFile(name, []byte(yaml), 0o600), qt.IsNil)
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	return settings.Read(fs, append([]string{"-config", name}, args...))
}

// TestRead has one row for each kind of error. Each wanted text is part of a line of
// the error.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		yaml string
		args []string
		want []string
	}{
		"good":                     {yaml: good},
		"flag before file":         {yaml: good + "logLevel: loud\n", args: []string{"-logLevel", "debug"}},
		"unknown key":              {yaml: good + "zones: x\n", want: []string{"node.yaml:5: zones: unknown setting"}},
		"set twice":                {yaml: good + "zone: x\n", want: []string{"node.yaml:5: zone: set twice"}},
		"list":                     {yaml: good + "peers: [a]\n", want: []string{"node.yaml:5: peers: not a single value"}},
		"bad number":               {yaml: good + "reportBytes: many\n", want: []string{"node.yaml:5: reportBytes: "}},
		"out of range":             {yaml: good + "traceSample: 2\n", want: []string{"node.yaml:5: traceSample: 2 is not within 0 and 1"}},
		"bad address":              {yaml: good + "peerAddress: localhost:1\n", want: []string{"node.yaml:5: peerAddress: "}},
		"not on loopback":          {yaml: good + "announceAddress: 10.0.0.1:1\n", want: []string{"announceAddress: \"10.0.0.1:1\" is not on loopback"}},
		"bad flag value":           {yaml: good, args: []string{"-lease", "1ms"}, want: []string{"lease: 1ms is not within"}},
		"missing":                  {yaml: "zone: z\n", want: []string{"node: ", "region: ", "platformURL: "}},
		"several errors":           {yaml: good + "zones: x\nlease: soon\npolicy: best\n", want: []string{":5: zones", ":6: lease", ":7: policy"}},
		"not YAML":                 {yaml: "node: [\n", want: []string{"node.yaml:"}},
		"not a mapping":            {yaml: "- a\n", want: []string{"not a list of settings"}},
		"empty":                    {yaml: "", want: []string{"node: "}},
		"short grace":              {yaml: good + "gracePeriod: 900ms\n", want: []string{"node.yaml:5: gracePeriod: 900ms is not 0, nor within 1s"}},
		"shortest grace":           {yaml: good + "leaveDelay: 2s\ngracePeriod: 1s\n"},
		"bad seed":                 {yaml: good + "seeds: 127.0.0.1:1, somewhere\n", want: []string{"node.yaml:5: seeds: \"somewhere\""}},
		"peers without a platform": {yaml: "node: a\nregion: r\nzone: z\npeers: 127.0.0.1:1, 127.0.0.1:2\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := read(t, test.yaml, test.args...)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, s.Zone, qt.Equals, "z")
				return
			}
			errs, ok := errors.AsType[settings.SettingErrors](err)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
			for _, w := range test.want {
				qt.Check(t, err.Error(), qt.Contains, w)
			}
			qt.Check(t, len(errs) >= len(test.want), qt.IsTrue)
		})
	}
}

// TestFirstPeers reads peer addresses, and seeds with other ports.
func TestFirstPeers(t *testing.T) {
	tests := map[string]struct {
		yaml string
		want []string
	}{
		"none":  {},
		"peers": {yaml: "peers: 127.0.0.1:1, 127.0.0.2:2\n", want: []string{"127.0.0.1:1", "127.0.0.2:2"}},
		"seeds": {
			yaml: "peerAddress: 10.0.0.1:8142\nseeds: 10.0.0.3:8144,[::1]:8144\n",
			want: []string{"10.0.0.3:8142", "[::1]:8142"},
		},
		"both": {
			yaml: "advertisedPeerAddress: 10.0.0.1:9\npeers: 127.0.0.1:1\nseeds: 10.0.0.3:8144\n",
			want: []string{"127.0.0.1:1", "10.0.0.3:9"},
		},
		"seeds are empty": {yaml: "seeds: \"\"\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := read(t, good+test.yaml)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, s.FirstPeers(), qt.DeepEquals, test.want)
		})
	}
}

// TestDrainDeadline has nodes with and without a known grace period.
func TestDrainDeadline(t *testing.T) {
	tests := map[string]struct {
		grace, leave, drain time.Duration
		wantLeave, want     time.Duration
	}{
		"no grace period":      {leave: time.Second, drain: 3 * time.Second, wantLeave: time.Second, want: 4 * time.Second},
		"a grace period":       {grace: 10 * time.Second, leave: time.Second, drain: 3 * time.Second, wantLeave: time.Second, want: 10*time.Second - settings.ExitReserve},
		"a short grace period": {grace: 2 * time.Second, leave: 2 * time.Second, wantLeave: (2*time.Second - settings.ExitReserve) / 2, want: 2*time.Second - settings.ExitReserve},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{
				GracePeriod:  test.grace,
				LeaveDelay:   test.leave,
				DrainTimeout: test.drain,
			}
			qt.Check(t, s.EffectiveLeaveDelay(), qt.Equals, test.wantLeave)
			qt.Check(t, s.DrainDeadline(), qt.Equals, test.want)
		})
	}
}

func TestEnvironment(t *testing.T) {
	t.Setenv("SASSAFRAS_ZONE", "fromenv")
	s, err := read(t, good)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Zone, qt.Equals, "fromenv")
}

// TestExampleNamesEverySetting reads the documented example and checks that it has each
// setting with its default.
func TestExampleNamesEverySetting(t *testing.T) {
	data, err := os.ReadFile("../cmd/sassafrasnode/example.yaml")
	qt.Assert(t, err, qt.IsNil)
	_, err = read(t, string(data))
	qt.Assert(t, err, qt.IsNil)
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	new(settings.Settings).Register(fs)
	noDefault := map[string]bool{"node": true, "region": true, "zone": true, "platformURL": true}
	fs.VisitAll(func(f *flag.Flag) {
		want := "\n" + f.Name + ": "
		if !noDefault[f.Name] {
			want += strings.ReplaceAll(strings.TrimSuffix(f.DefValue, "0s"), "m0", "m")
		}
		qt.Check(t, string(data), qt.Contains, want)
	})
}
