// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

func TestRetryShares(t *testing.T) {
	class := func(name string, priority int, objective time.Duration) operator.Class {
		return operator.Class{
			Name:      name,
			Priority:  priority,
			Objective: operator.Duration(objective),
		}
	}
	ms := time.Millisecond
	tests := map[string]struct {
		classes []operator.Class
		want    map[string]float64
	}{
		"one class":               {classes: []operator.Class{class("a", 0, 0)}, want: map[string]float64{"a": 1}},
		"priorities":              {classes: []operator.Class{class("a", -2, 0), class("b", -1, 0), class("c", 0, 0)}, want: map[string]float64{"a": 0.5, "b": 0.75, "c": 1}},
		"calls made within a run": {classes: []operator.Class{class("post", -1, 800*ms), class("call", -1, 150*ms)}, want: map[string]float64{"post": 0.5, "call": 1}},
		"priority goes first":     {classes: []operator.Class{class("call", -1, 150*ms), class("post", 0, 800*ms)}, want: map[string]float64{"call": 0.5, "post": 1}},
		"no objective":            {classes: []operator.Class{class("a", 0, 0), class("b", 0, 150*ms)}, want: map[string]float64{"a": 0.5, "b": 1}},
		"same urgency":            {classes: []operator.Class{class("a", 0, 150*ms), class("b", 0, 150*ms)}, want: map[string]float64{"a": 1, "b": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, retryShares(operator.Service{Classes: test.classes, Retry: operator.Retry{ReservedFraction: 0.5}}), qt.DeepEquals, test.want)
		})
	}
}
