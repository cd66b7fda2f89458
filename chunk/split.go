// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package chunk

const (
	// minBytes and maxBytes are the smallest and the largest size of a chunk. The last chunk may be
	// smaller.
	minBytes = 4 << 10
	maxBytes = 32 << 10
	// boundaryMask selects the bits of the rolling hash that are zero at a boundary: one position in
	// 4096 beyond minBytes is one.
	boundaryMask = 0xfff << 40
)

// gear holds the values that the rolling hash adds for each byte. All nodes must have the same.
var gear = newGear()

// newGear returns pseudo-random values of the SplitMix64 generator.
func newGear() (table [256]uint64) {
	var state uint64
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// split divides data into chunks, which are parts of it.
func split(data []byte) [][]byte {
	var list [][]byte
	for len(data) > 0 {
		n := boundary(data)
		list = append(list, data[:n:n])
		data = data[n:]
	}
	return list
}

// boundary returns the size of the first chunk of data.
func boundary(data []byte) int {
	limit := min(len(data), maxBytes)
	var h uint64
	for i := minBytes; i < limit; i++ {
		h = h<<1 + gear[data[i]]
		if h&boundaryMask == 0 {
			return i + 1
		}
	}
	return limit
}
