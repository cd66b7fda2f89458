// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package peer is the protocol that the nodes of the system speak to each
// other, and nothing else.
//
// A connection is TCP. Each frame is a length of four bytes, big endian, that
// counts what follows it; one byte for the kind; and a message in msgpack with
// field names in camel case. The first frame in each direction is a Hello.
//
// Many calls share a connection. The id of a call is never used again on its
// connection, and a frame for an unknown id is dropped, so a late answer can't
// reach another caller. Bodies go in chunks, each direction of each call under
// a credit of its own, so a large body never holds up a small answer. A node may
// bound the body bytes that all its peers together have under way to it, so that
// they don't fill its link either.
//
// The verdict of a call that fails follows from how far its frames came. Until
// the frame that lets the receiver start it is wholly written, it has not run.
// A streamed call may start as soon as the receiver grants credit for its body, or, if
// its body is sent ahead of its admission, once that has ended.
//
// A peer that breaks the protocol or its bounds costs its own connection only.
package peer
