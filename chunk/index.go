// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package chunk

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Digest identifies a chunk or an index by its content. It is the beginning of the SHA-256 sum.
type Digest [16]byte

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:4]) }

// IsZero returns whether d is the zero value, which is the digest of nothing.
func (d Digest) IsZero() bool { return d == Digest{} }

// Raw returns the bytes of the digest as a string.
func (d Digest) Raw() string { return string(d[:]) }

// ParseDigest returns the digest with the given bytes, or the zero value if there are none.
func ParseDigest(data string) (d Digest, err error) {
	if len(data) == 0 {
		return d, nil
	}
	if len(data) != len(d) {
		return d, eris.Errorf("digest of %d bytes", len(data))
	}
	copy(d[:], data)
	return d, nil
}

// digestOf returns the digest of data.
func digestOf(data []byte) (d Digest) {
	sum := sha256.Sum256(data)
	copy(d[:], sum[:])
	return d
}

// Entry describes a chunk.
type Entry struct {
	// Digest identifies the chunk.
	Digest Digest
	// Bytes is its size, uncompressed.
	Bytes int
}

// entryBytes is the encoded size of an Entry.
const entryBytes = len(Digest{}) + 4

// Index lists the chunks of an object in order. It is an immutable value.
type Index []Entry

// Encode returns the encoded index.
func (x Index) Encode() []byte {
	b := make([]byte, 0, len(x)*entryBytes)
	for _, e := range x {
		b = append(b, e.Digest[:]...)
		b = binary.BigEndian.AppendUint32(b, uint32(e.Bytes))
	}
	return b
}

// DecodeIndex returns the index that Encode has encoded, or an error if data is not one.
func DecodeIndex(data []byte) (Index, error) {
	if len(data)%entryBytes != 0 {
		return nil, eris.Errorf("index of %d bytes", len(data))
	}
	x := make(Index, 0, len(data)/entryBytes)
	for ; len(data) > 0; data = data[entryBytes:] {
		e := Entry{Bytes: int(binary.BigEndian.Uint32(data[len(Digest{}):]))}
		copy(e.Digest[:], data)
		if e.Bytes < 1 || e.Bytes > maxBytes {
			return nil, eris.Errorf("chunk of %d bytes", e.Bytes)
		}
		x = append(x, e)
	}
	return x, nil
}

// Root returns the digest of the index, which identifies the object.
func (x Index) Root() Digest { return digestOf(x.Encode()) }

// Bytes returns the size of the object.
func (x Index) Bytes() (n int) {
	for _, e := range x {
		n += e.Bytes
	}
	return n
}

// Run is a part of a Patch: some entries of the base, followed by other entries.
type Run struct {
	// From and Count select entries of the base.
	From  int `msgpack:"f,omitempty"`
	Count int `msgpack:"c,omitempty"`
	// Entries are the encoded entries that follow.
	Entries []byte `msgpack:"e,omitempty"`
}

// Patch makes one index from another, the base.
type Patch []Run

// Diff returns the patch that makes x from base.
func (x Index) Diff(base Index) Patch {
	at := make(map[Entry]int, len(base))
	for i, e := range base {
		at[e] = i
	}
	var p Patch
	for i := 0; i < len(x); {
		from, ok := at[x[i]]
		if !ok {
			if len(p) == 0 {
				p = append(p, Run{})
			}
			last := &p[len(p)-1]
			last.Entries = append(last.Entries, x[i:i+1].Encode()...)
			i++
			continue
		}
		n := 0
		for i+n < len(x) && from+n < len(base) && x[i+n] == base[from+n] {
			n++
		}
		p = append(p, Run{
			From:  from,
			Count: n,
		})
		i += n
	}
	return p
}

// Patched returns the index that p makes from x, or an error if p does not fit x.
func (x Index) Patched(p Patch) (Index, error) {
	var result Index
	for _, r := range p {
		if r.From < 0 || r.Count < 0 || r.From > len(x) || r.Count > len(x)-r.From {
			return nil, eris.Errorf("entries %d to %d of %d", r.From, r.From+r.Count, len(x))
		}
		result = append(result, x[r.From:r.From+r.Count]...)
		more, err := DecodeIndex(r.Entries)
		if err != nil {
			return nil, err
		}
		result = append(result, more...)
	}
	return result, nil
}
