// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package chunk

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Object is an object in compressed chunks. It is immutable.
type Object struct {
	index  Index
	root   Digest
	chunks [][]byte // compressed, by position in the index
}

// New divides data into an Object. Chunks that the previous objects have are shared with them, and are
// not compressed again.
func New(data []byte, previous ...*Object) *Object {
	known := chunksOf(previous)
	o := new(Object)
	for _, c := range split(data) {
		e := Entry{
			Digest: digestOf(c),
			Bytes:  len(c),
		}
		compressed, ok := known[e.Digest]
		if !ok {
			compressed = compress(c)
		}
		o.index = append(o.index, e)
		o.chunks = append(o.chunks, compressed)
	}
	o.root = o.index.Root()
	return o
}

// chunksOf returns the compressed chunks of objects by their digests.
func chunksOf(objects []*Object) map[Digest][]byte {
	known := make(map[Digest][]byte)
	for _, o := range objects {
		if o == nil {
			continue
		}
		for i, e := range o.index {
			known[e.Digest] = o.chunks[i]
		}
	}
	return known
}

// Index returns the index.
func (o *Object) Index() Index { return o.index }

// Root returns the digest of the index.
func (o *Object) Root() Digest { return o.root }

// Chunk returns a compressed chunk by its position in the index. It panics if there is none.
func (o *Object) Chunk(i int) []byte { return o.chunks[i] }

// flateWriters holds *flate.Writer values, which take most of a megabyte each.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("chunk: " + err.Error()) // the level is valid
	}
	return w
}}

// compress returns data compressed as DEFLATE, see RFC 1951.
func compress(data []byte) []byte {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	_, _ = w.Write(data) // a bytes.Buffer returns no error
	_ = w.Close()
	return bytes.Clone(b.Bytes())
}

// decompress returns the chunk that e describes from its compressed form. It returns an error if the
// result is another one.
func (e Entry) decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data := make([]byte, e.Bytes)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, eris.Wrap(err, "decompress chunk")
	}
	if digestOf(data) != e.Digest {
		return nil, eris.New("chunk has another digest")
	}
	return data, nil
}
