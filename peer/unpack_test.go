// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestUnpackExcessiveLength declares a list of 3.7 billion fields in 5 bytes.
func TestUnpackExcessiveLength(t *testing.T) {
	_, err := peer.Unpack[[]peer.Field]([]byte{0xdd, 0xdd, 0xdd, 0xdd, 0xdd})
	qt.Check(t, err, qt.ErrorIs, peer.ErrProtocol)
}
