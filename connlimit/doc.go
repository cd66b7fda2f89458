// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package connlimit bounds what the clients of an HTTP server make the process hold, and how much of
// the processor they take.
//
// A Budget counts the bytes that all connections of a server hold: their buffers, the heads that are
// being received and those that have been parsed, bodies and responses. When it is used up, the
// connections are closed for whose clients the process waits: those come first that have held most for
// longest. A connection at whose request the process is at work is never closed. A Lane bounds how many
// of the requests that cost much are handled at once, so that the others need not wait behind all of them.
//
// A Listener applies both to the connections of a net/http Server.
package connlimit
