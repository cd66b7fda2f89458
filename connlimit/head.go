// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import "bytes"

// headCount counts the bytes and lines of a head while it is received.
type headCount struct {
	bytes, lines int
	lineBytes    int  // bytes of the current line, without carriage returns
	begun        bool // whether a line that is not empty has begun
	ended        bool // whether the empty line at its end has been received
}

// write counts the bytes of p, up to the end of the head.
func (h *headCount) write(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		line := p[:max(i, 0)]
		if i < 0 {
			line = p
		}
		h.lineBytes += len(line) - bytes.Count(line, []byte{'\r'})
		h.begun = h.begun || h.lineBytes > 0
		if i < 0 {
			h.bytes += len(p)
			return
		}
		h.bytes += i + 1
		p = p[i+1:]
		h.ended = h.begun && h.lineBytes == 0
		h.lines++
		h.lineBytes = 0
	}
}
