// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Fingerprint tells requests apart by what an upstream is given to run. Two sendings of
// the same request have the same one, and requests that differ in caller, method, host,
// target or body have different ones. What differs from one attempt of a caller to the
// next, such as the request id and the deadline, is no part of it. It is an immutable
// value.
//
// It is made with SHA-256, of which 64 bits are kept of the body, 48 of what else is to be
// run and 16 of the caller: to make a request that is taken for a given other one takes
// some 2^48 tries for the head alone.
type Fingerprint struct {
	// Head stands for all but the body, with its last callerBits for the caller alone.
	Head uint64 `msgpack:"h"`
	// Body stands for the first MaxBody bytes of the body, or is 0 if they are not
	// known.
	Body uint64 `msgpack:"b"`
}

// MaxBody is how much of a body is part of a fingerprint, in bytes: as much as is waited for
// where a request with the same head is suspected.
const MaxBodyBytes = 64 << 10

// Head returns the fingerprint of a request without its body, given the service that it
// comes from, its method, host and target.
func NewFingerprint(caller, method, host, target string) Fingerprint {
	const callerMask = 1<<callerHashBits - 1
	return Fingerprint{
		Head: max(1, hashStrings(method, host, target)&^callerMask|hashStrings(caller)&callerMask),
	}
}

// callerBits is the number of bits of a Head that stand for the caller.
const callerHashBits = 16

// request is what an upstream is given to run, whoever the caller is.
type request struct {
	head, body uint64
}

// request returns what f says of the request but for its caller.
func (f Fingerprint) request() request {
	return request{
		head: f.Head >> callerHashBits,
		body: f.Body,
	}
}

// sumOf returns the sum of some texts.
func hashStrings(parts ...string) uint64 {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = io.WriteString(h, part)
	}
	return hash64(h)
}

// WithBody returns f with the given body, of which the first MaxBody bytes count.
func (f Fingerprint) WithBody(body []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write(body[:min(len(body), MaxBodyBytes)])
	f.Body = hash64(h)
	return f
}

// Known returns whether f stands for a whole request, body included.
func (f Fingerprint) Complete() bool { return f.Head != 0 && f.Body != 0 }

// String returns f as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf(format, f.Head, f.Body) }

// format is the format of a fingerprint in text.
const format = "%016x.%016x"

// Parse returns the fingerprint that String has written.
func Parse(s string) (Fingerprint, error) {
	var f Fingerprint
	if _, err := fmt.Sscanf(s, format, &f.Head, &f.Body); err != nil || f.String() != s {
		return Fingerprint{}, eris.Errorf("%q is no fingerprint", s)
	}
	return f, nil
}

// sum returns 64 bits of a hash that are not all 0.
func hash64(h hash.Hash) uint64 {
	return max(1, binary.BigEndian.Uint64(h.Sum(nil)))
}

// Body is an io.Reader that takes the fingerprint of what passes through it. The
// exported fields are set before the first Read.
type BodyHasher struct {
	// Reader yields the body.
	Reader io.Reader

	mu        sync.Mutex
	hash      hash.Hash
	remaining int // bytes that still count
}

// Read implements io.Reader.
func (b *BodyHasher) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	counted := min(n, b.remaining)
	_, _ = b.hash.Write(p[:counted])
	b.remaining -= counted
	return n, err
}

// Fingerprint returns f with the body that has passed so far. It may be called from
// any goroutine.
func (b *BodyHasher) Fingerprint(f Fingerprint) Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	f.Body = hash64(b.hash)
	return f
}

func (b *BodyHasher) init() {
	if b.hash == nil {
		b.hash = sha256.New()
		b.remaining = MaxBodyBytes
	}
}
