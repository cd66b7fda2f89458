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

// Fingerprint identifies a request by what an upstream is given to run. Two attempts of the
// same request have the same fingerprint, and requests that differ in caller, method, host,
// target or body have different ones. What differs between the retries of a caller, such as
// the request id and the deadline, is not part of it. It is an immutable value.
//
// It is computed with SHA-256, of which 64 bits are kept for the body, 48 for the rest of
// what is run and 16 for the caller. Forging a request with the fingerprint of a given one
// takes about 2^48 attempts for the head alone.
type Fingerprint struct {
	// Head is the hash of all but the body. Its last callerHashBits are the hash of the caller.
	Head uint64 `msgpack:"h"`
	// Body is the hash of the first MaxBodyBytes bytes of the body, or 0 if they are not
	// known.
	Body uint64 `msgpack:"b"`
}

// MaxBodyBytes is the length of the prefix of a body that is part of a fingerprint. A node waits
// for this much of the body if a request with the same head is suspected.
const MaxBodyBytes = 64 << 10

// NewFingerprint returns the fingerprint of a request without its body, given the service that
// sent it, its method, host and target.
func NewFingerprint(caller, method, host, target string) Fingerprint {
	const callerMask = 1<<callerHashBits - 1
	return Fingerprint{
		Head: max(1, hashStrings(method, host, target)&^callerMask|hashStrings(caller)&callerMask),
	}
}

// callerHashBits is the number of bits of a Head that are the hash of the caller.
const callerHashBits = 16

// request identifies what an upstream is given to run, regardless of the caller.
type request struct {
	head, body uint64
}

// request returns the part of f that does not depend on the caller.
func (f Fingerprint) request() request {
	return request{
		head: f.Head >> callerHashBits,
		body: f.Body,
	}
}

// hashStrings returns a 64-bit hash of some strings.
func hashStrings(parts ...string) uint64 {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = io.WriteString(h, part)
	}
	return hash64(h)
}

// WithBody returns f with the given body, of which only the first MaxBodyBytes bytes count.
func (f Fingerprint) WithBody(body []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write(body[:min(len(body), MaxBodyBytes)])
	f.Body = hash64(h)
	return f
}

// Complete returns whether f covers a whole request, including its body.
func (f Fingerprint) Complete() bool { return f.Head != 0 && f.Body != 0 }

// String returns f in the format that is used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf(format, f.Head, f.Body) }

// format is the text format of a fingerprint.
const format = "%016x.%016x"

// Parse parses a fingerprint that was formatted by String.
func Parse(s string) (Fingerprint, error) {
	var f Fingerprint
	if _, err := fmt.Sscanf(s, format, &f.Head, &f.Body); err != nil || f.String() != s {
		return Fingerprint{}, eris.Errorf("%q is not a fingerprint", s)
	}
	return f, nil
}

// hash64 returns 64 bits of a hash, or 1 if they are all 0.
func hash64(h hash.Hash) uint64 {
	return max(1, binary.BigEndian.Uint64(h.Sum(nil)))
}

// BodyHasher is an io.Reader that hashes the body that is read through it. The
// exported fields are set before the first Read.
type BodyHasher struct {
	// Reader yields the body.
	Reader io.Reader

	mu        sync.Mutex
	hash      hash.Hash
	remaining int // bytes that are still to be hashed
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

// Fingerprint returns f with the body that has been read so far. It may be called from
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
