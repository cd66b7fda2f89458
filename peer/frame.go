// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// lengthSize is the size in bytes of the length prefix of each frame.
const lengthSize = 4

// ErrProtocol is the root of all errors caused by a peer that violates the protocol.
var ErrProtocol = eris.New("peer protocol violated")

// bufferPool holds *bytes.Buffer values for encoding.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// appendFrame encodes one frame at the end of b. Structs are encoded as arrays of their
// fields, in order: field names would make a call and its response a fifth longer, and
// traffic between availability zones is billed.
func appendFrame(b *bytes.Buffer, k Kind, message any) error {
	start := b.Len()
	b.Write([]byte{0, 0, 0, 0, byte(k)})
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(b)
	e.UseCompactInts(true)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(message); err != nil {
		return eris.Wrapf(err, "encode message of kind %d", k)
	}
	binary.BigEndian.PutUint32(b.Bytes()[start:], uint32(b.Len()-start-lengthSize))
	return nil
}

// readFrame reads one frame and returns its kind and its encoded message. It returns
// io.EOF if the connection ends between two frames.
func readFrame(r *bufio.Reader, limit int) (Kind, []byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n < 1 || n > limit {
		return 0, nil, eris.Wrapf(ErrProtocol, "frame of %d bytes", n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, eris.Wrap(io.ErrUnexpectedEOF, "truncated frame")
	}
	return Kind(payload[0]), payload[1:], nil
}

// decode decodes a message. Trailing bytes violate the protocol.
func decode[T any](payload []byte) (*T, error) {
	if !HasValidLengths(payload) {
		return nil, eris.Wrap(ErrProtocol, "message: declared length exceeds the remaining bytes")
	}
	m := new(T)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	r := bytes.NewReader(payload)
	d.Reset(r)
	if err := d.Decode(m); err != nil {
		return nil, eris.Wrapf(ErrProtocol, "message: %v", err)
	}
	if r.Len() > 0 {
		return nil, eris.Wrapf(ErrProtocol, "%d trailing bytes after the message", r.Len())
	}
	return m, nil
}
