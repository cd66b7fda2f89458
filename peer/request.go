// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrNoClient is the error of a request without a client, as on a node that has stopped.
var ErrNoClient = eris.New("no client for the request")

// SendRequest sends a control request to a peer and decodes its reply.
func SendRequest[Q, A any](ctx context.Context, p *Client, topic string, q Q) (A, error) {
	var none A
	if p == nil {
		return none, ErrNoClient
	}
	payload, err := msgpack.Marshal(q)
	if err != nil {
		return none, eris.Wrap(err, "encode "+topic)
	}
	reply, err := p.Request(ctx, topic, payload, false)
	if err != nil {
		return none, err
	}
	return Unpack[A](reply)
}

// Unpack decodes the payload of a control request or its reply.
func Unpack[T any](payload []byte) (T, error) {
	var v T
	if !HasValidLengths(payload) {
		return v, eris.Wrap(ErrProtocol, "decode: declared length exceeds the remaining bytes")
	}
	if err := msgpack.Unmarshal(payload, &v); err != nil {
		return v, eris.Wrap(err, "decode")
	}
	return v, nil
}
