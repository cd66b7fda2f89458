// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package chunk

import "github.com/rotisserie/eris"

// Assembly is an object of which some chunks may be missing. Use NewAssembly to create one. It is not
// safe for concurrent use.
type Assembly struct {
	object  Object // chunks that are missing are nil
	data    [][]byte
	missing int
}

// NewAssembly returns the assembly of the object with the given index. It has the chunks that the given
// objects and the earlier assembly have, which may be nil.
func NewAssembly(index Index, earlier *Assembly, objects ...*Object) *Assembly {
	known := chunksOf(objects)
	if earlier != nil {
		for i, e := range earlier.object.index {
			if c := earlier.object.chunks[i]; c != nil {
				known[e.Digest] = c
			}
		}
	}
	a := &Assembly{
		object: Object{
			index:  index,
			root:   index.Root(),
			chunks: make([][]byte, len(index)),
		},
		data: make([][]byte, len(index)),
	}
	for i, e := range index {
		a.object.chunks[i] = known[e.Digest]
		if a.object.chunks[i] == nil {
			a.missing++
		}
	}
	return a
}

// Index returns the index of the object.
func (a *Assembly) Index() Index { return a.object.index }

// Root returns the digest of the index.
func (a *Assembly) Root() Digest { return a.object.root }

// Missing returns the number of missing chunks.
func (a *Assembly) Missing() int { return a.missing }

// Has returns whether the assembly has the chunk at a position of the index. It panics if there is no
// such position.
func (a *Assembly) Has(i int) bool { return a.object.chunks[i] != nil }

// Chunk returns a compressed chunk by its position in the index, or nil if it is missing. It panics if
// there is no such position.
func (a *Assembly) Chunk(i int) []byte { return a.object.chunks[i] }

// Put adds a compressed chunk, and returns whether it was missing. It returns an error if there is no
// such position in the index, or if the chunk is another one.
func (a *Assembly) Put(i int, compressed []byte) (added bool, err error) {
	if i < 0 || i >= len(a.object.index) {
		return false, eris.Errorf("chunk %d of %d", i, len(a.object.index))
	}
	if a.Has(i) {
		return false, nil
	}
	data, err := a.object.index[i].decompress(compressed)
	if err != nil {
		return false, err
	}
	a.object.chunks[i] = compressed
	a.data[i] = data
	a.missing--
	return true, nil
}

// Object returns the object, without copying its chunks, and its content. It returns an error if a chunk is
// missing.
func (a *Assembly) Object() (*Object, []byte, error) {
	if a.missing > 0 {
		return nil, nil, eris.Errorf("%d chunks are missing", a.missing)
	}
	content := make([]byte, 0, a.object.index.Bytes())
	for i, e := range a.object.index {
		data := a.data[i]
		if data == nil {
			var err error
			if data, err = e.decompress(a.object.chunks[i]); err != nil {
				return nil, nil, err
			}
		}
		content = append(content, data...)
	}
	o := a.object // the assembly itself has the uncompressed chunks as well
	return &o, content, nil
}
