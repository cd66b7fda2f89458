// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package peer implements the protocol between the nodes of the system.
//
// A connection uses TCP. Each frame is a length of four bytes, big endian, that
// counts what follows it; one byte for the kind; and a message in msgpack, whose structs are
// arrays of their fields. The payloads of control requests have field names in camel case.
// The first frame in each direction is a Hello.
//
// Many calls share a connection. The ID of a call is never reused on its connection, and a
// frame for an unknown ID is dropped, so a late response can't reach another caller. Bodies
// are sent in chunks, with separate flow control credit for each direction of each call, so a
// large body never delays a small response. A node may limit the body bytes in flight to it
// from all its peers together, so that they don't fill the queue of its link either.
//
// The verdict of a failed call depends on how far its frames were written. Until the frame
// that lets the receiver start the call is written completely, the call has not run. A
// streamed call may start as soon as the receiver grants credit for its body, or, if it has
// an early body, which is sent before the call is admitted, once that body has ended.
//
// A peer that violates the protocol or its limits loses only its own connection.
package peer
