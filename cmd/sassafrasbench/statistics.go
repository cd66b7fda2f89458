// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"slices"
)

// quantile returns the q-quantile of a list, or 0 if it is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func median(list []float64) float64 { return quantile(list, 0.5) }

func maximum(list []float64) float64 { return quantile(list, 1) }
