// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzFrames feeds arbitrary bytes to the decoder of every kind of message. The decoder must
// return errors and never panic, and what it decodes must encode again.
func FuzzFrames(f *testing.F) {
	seeds := map[Kind]any{
		KindHello:    &Hello{Version: Version, Node: "n"},
		KindCall:     &Call{ID: 1, Method: "GET", Target: "/", Header: []Field{{Name: "a", Value: "b"}}},
		KindResponse: &ResponseHead{ID: 1, Status: 200, Body: []byte("x"), Report: &Report{Running: 1}},
		KindFailure:  &Failure{ID: 1, Cause: "refused"},
		KindCredit:   &Credit{ID: 1, Bytes: -1},
	}
	for k, m := range seeds {
		var b bytes.Buffer
		if err := appendFrame(&b, k, m); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			k, payload, err := readFrame(r, 1<<16)
			if err != nil {
				return
			}
			decodeAny(t, k, payload)
		}
	})
}

func decodeAny(t *testing.T, k Kind, payload []byte) {
	switch k {
	case KindHello:
		reencode[Hello](t, k, payload)
	case KindCall:
		reencode[Call](t, k, payload)
	case KindResponse:
		reencode[ResponseHead](t, k, payload)
	case KindFailure:
		reencode[Failure](t, k, payload)
	case KindCredit:
		reencode[Credit](t, k, payload)
	case KindRequest:
		reencode[Request](t, k, payload)
	}
}

func reencode[T any](t *testing.T, k Kind, payload []byte) {
	m, err := decode[T](payload)
	if err != nil {
		return
	}
	var b bytes.Buffer
	if err := appendFrame(&b, k, m); err != nil {
		t.Fatalf("decoded but can't be encoded: %v", err)
	}
}
