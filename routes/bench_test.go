// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package routes

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecode measures what each version of a table costs a node that receives it, beside its chunks.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{20, 1420, 4220, 20000} {
		t := Table{Version: 2, Services: []Service{{Name: "noje87a", HealthPath: "/healthz"}}}
		for i := range n {
			t.Routes = append(t.Routes, Route{
				Name:        fmt.Sprint("pledge-lookup-", i),
				Host:        "dara31.example",
				Prefix:      fmt.Sprintf("/ib8t%d/", i),
				Services:    []WeightedService{{Service: "noje87a", Weight: 1}},
				Idempotent:  true,
				Timeout:     2 * time.Second,
				Objective:   800 * time.Millisecond,
				MaxAttempts: 2,
				Priority:    2,
			})
		}
		data, err := t.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
