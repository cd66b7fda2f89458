// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

// HasValidLengths returns whether a msgpack value declares no more elements and bytes than
// follow it. The decoder allocates what is declared before it reads it, so 23 bytes could
// request a list of 119 GB and crash the process. Its own limit does not apply to lists.
func HasValidLengths(p []byte) bool {
	for pending := 1; pending > 0; {
		if len(p) == 0 {
			return false
		}
		size, values, width := valueLayout(p[0])
		p = p[1:]
		if width > len(p) {
			return false
		}
		declared := 0
		for _, b := range p[:width] {
			declared = declared<<8 | int(b)
		}
		p = p[width:]
		if width > 0 && values > 0 {
			values *= declared
		} else if width > 0 {
			size += declared
		}
		if size > len(p) || values > len(p) {
			return false
		}
		p = p[size:]
		pending += values - 1
		if pending > len(p) {
			return false
		}
	}
	return true
}

// valueLayout returns what the first byte of a msgpack value determines: how many bytes follow
// it, how many values, and how many bytes hold a length. If there is a length, members is the
// number of values per element.
func valueLayout(b byte) (size, values, width int) {
	switch {
	case b >= 0x80 && b <= 0x8f:
		return 0, 2 * int(b&0x0f), 0
	case b >= 0x90 && b <= 0x9f:
		return 0, int(b & 0x0f), 0
	case b >= 0xa0 && b <= 0xbf:
		return int(b & 0x1f), 0, 0
	case b >= 0xc4 && b <= 0xc6:
		return 0, 0, 1 << (b - 0xc4)
	case b >= 0xc7 && b <= 0xc9:
		return 1, 0, 1 << (b - 0xc7)
	case b == 0xca:
		return 4, 0, 0
	case b == 0xcb:
		return 8, 0, 0
	case b >= 0xcc && b <= 0xcf:
		return 1 << (b - 0xcc), 0, 0
	case b >= 0xd0 && b <= 0xd3:
		return 1 << (b - 0xd0), 0, 0
	case b >= 0xd4 && b <= 0xd8:
		return 1 + 1<<(b-0xd4), 0, 0
	case b >= 0xd9 && b <= 0xdb:
		return 0, 0, 1 << (b - 0xd9)
	case b == 0xdc || b == 0xdd:
		return 0, 1, 2 << (b - 0xdc)
	case b == 0xde || b == 0xdf:
		return 0, 2, 2 << (b - 0xde)
	}
	return 0, 0, 0
}
