// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine_test

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

func TestFingerprint(t *testing.T) {
	base := quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=1").WithBody([]byte("body"))
	tests := map[string]struct {
		other quarantine.Fingerprint
		same  bool
	}{
		"the same":            {other: quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=1").WithBody([]byte("body")), same: true},
		"another caller":      {other: quarantine.NewFingerprint("crew", "PUT", "h.example", "/a/x?y=1").WithBody([]byte("body"))},
		"another method":      {other: quarantine.NewFingerprint("desk", "GET", "h.example", "/a/x?y=1").WithBody([]byte("body"))},
		"another host":        {other: quarantine.NewFingerprint("desk", "PUT", "i.example", "/a/x?y=1").WithBody([]byte("body"))},
		"another query":       {other: quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=2").WithBody([]byte("body"))},
		"another body":        {other: quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=1").WithBody([]byte("bodz"))},
		"no body":             {other: quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=1").WithBody(nil)},
		"a body not known":    {other: quarantine.NewFingerprint("desk", "PUT", "h.example", "/a/x?y=1")},
		"parts that run over": {other: quarantine.NewFingerprint("deskP", "UT", "h.example", "/a/x?y=1").WithBody([]byte("body"))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.other == base, qt.Equals, test.same)
		})
	}
	qt.Check(t, base.Complete(), qt.IsTrue)
	parsed, err := quarantine.Parse(base.String())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, parsed, qt.Equals, base)
	for _, bad := range []string{"", "x", "1.2", base.String() + "0", "zz" + base.String()[2:]} {
		_, err := quarantine.Parse(bad)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
	qt.Check(t, quarantine.NewFingerprint("a", "b", "c", "d").Complete(), qt.IsFalse)
}

// TestBodyHasher checks that a body that is read in pieces has the same fingerprint as the
// whole body.
func TestBodyHasher(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "small": 100, "at the bound": quarantine.MaxBodyBytes, "over the bound": quarantine.MaxBodyBytes + 1000} {
		t.Run(name, func(t *testing.T) {
			data := bytes.Repeat([]byte("x"), size)
			head := quarantine.NewFingerprint("a", "b", "c", "d")
			b := &quarantine.BodyHasher{Reader: bytes.NewReader(data)}
			_, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{b}, make([]byte, 777))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, b.Fingerprint(head), qt.Equals, head.WithBody(data))
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"none": 0, "8KB": 8 << 10, "64KB": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				quarantine.NewFingerprint("desk", "PUT", "reports.example", "/area/reports/0a1b2c").WithBody(body)
			}
		})
	}
}
