// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package chunk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// table returns an object like a table of routes, with one line for each number.
func table(numbers []int) []byte {
	var b bytes.Buffer
	for _, i := range numbers {
		r := rand.New(rand.NewPCG(uint64(i), 1))
		fmt.Fprintf(&b, `{"name":"pledge-lookup-%d","host":"dara31.example","prefix":"/%x/","parts":[{"service":"noje87a","weight":1}],"timeout":2000000000,"attempts":2,"priority":1},`, i, r.Uint64())
	}
	return b.Bytes()
}

// upTo returns the numbers from 0 to n-1.
func upTo(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// fetch assembles an object from the chunks of another, and returns its content and the number of
// bytes that had to be fetched.
func fetch(t *testing.T, from *Object, have ...*Object) (content []byte, fetched int) {
	a := NewAssembly(from.Index(), nil, have...)
	for i := range from.Index() {
		if a.Has(i) {
			continue
		}
		fetched += len(from.Chunk(i))
		added, err := a.Put(i, from.Chunk(i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, added, qt.IsTrue)
	}
	o, content, err := a.Object()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Root(), qt.Equals, from.Root())
	return content, fetched
}

func TestObject(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":        nil,
		"one byte":     {1},
		"no boundary":  make([]byte, 300<<10),
		"a table":      table(upTo(1420)),
		"a long table": table(upTo(20000)),
	} {
		t.Run(name, func(t *testing.T) {
			content, fetched := fetch(t, New(data))
			qt.Check(t, bytes.Equal(content, data), qt.IsTrue)
			t.Logf("%d bytes in %d chunks, %d compressed", len(data), len(New(data).Index()), fetched)
		})
	}
}

// TestFetchedBytesFollowChange guards against transfers that grow with the table in place of the change.
func TestFetchedBytesFollowChange(t *testing.T) {
	numbers := upTo(5000)
	base := New(table(numbers))
	_, whole := fetch(t, base)
	for name, row := range map[string]struct {
		numbers []int
		chunks  int // that may be fetched
	}{
		"nothing":               {numbers, 0},
		"one route at the end":  {append(upTo(5000), 7777), 2},
		"one route in front":    {append([]int{7777}, numbers...), 2},
		"one route in between":  {append(append(upTo(2000), 7777), numbers[2000:]...), 2},
		"one route replaced":    {append(append(upTo(2000), 7777), numbers[2001:]...), 2},
		"one route removed":     {append(upTo(2000), numbers[2001:]...), 2},
		"a tenth more":          {append(upTo(5000), upTo(5500)[5000:]...), 30},
		"half of it is removed": {upTo(2500), 2},
	} {
		t.Run(name, func(t *testing.T) {
			data := table(row.numbers)
			o := New(data, base)
			content, fetched := fetch(t, o, base)
			qt.Check(t, bytes.Equal(content, data), qt.IsTrue)
			limit := row.chunks * maxBytes / 4 // compressed to a quarter at least
			qt.Check(t, fetched <= limit, qt.IsTrue, qt.Commentf("%d bytes of %d", fetched, whole))
			patch := o.Index().Diff(base.Index())
			patched, err := base.Index().Patched(patch)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, patched.Root(), qt.Equals, o.Root())
			qt.Check(t, len(patch) <= row.chunks+1, qt.IsTrue, qt.Commentf("%d runs", len(patch)))
		})
	}
}

// TestAssemblyRefusesOtherChunks puts chunks that are not those of the index.
func TestAssemblyRefusesOtherChunks(t *testing.T) {
	o := New(table(upTo(500)))
	a := NewAssembly(o.Index(), nil)
	for name, row := range map[string]struct {
		position int
		data     []byte
	}{
		"another chunk":       {0, o.Chunk(1)},
		"truncated":           {0, o.Chunk(0)[:len(o.Chunk(0))/2]},
		"not compressed":      {0, []byte("no")},
		"no such position":    {len(o.Index()), o.Chunk(0)},
		"a negative position": {-1, o.Chunk(0)},
	} {
		t.Run(name, func(t *testing.T) {
			added, err := a.Put(row.position, row.data)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, added, qt.IsFalse)
			_, _, err = a.Object()
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// TestInvalidIndex decodes indexes and applies patches that a peer must not send.
func TestInvalidIndex(t *testing.T) {
	valid := New(table(upTo(500))).Index()
	for name, data := range map[string][]byte{
		"not a whole entry": valid.Encode()[:entryBytes+1],
		"an empty chunk":    make([]byte, entryBytes),
		"a huge chunk":      bytes.Repeat([]byte{0xff}, entryBytes),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeIndex(data)
			qt.Check(t, err, qt.IsNotNil)
		})
	}
	for name, run := range map[string]Run{
		"from a negative entry": {From: -1, Count: 1},
		"a negative count":      {Count: -1},
		"beyond the end":        {From: len(valid), Count: 1},
		"a huge count":          {From: 1, Count: int(^uint(0) >> 1)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := valid.Patched(Patch{run})
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1420, 4220, 20000} {
		data := table(upTo(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				New(data)
			}
		})
		b.Run(fmt.Sprint(n, "-one-changed"), func(b *testing.B) {
			o := New(data)
			changed := table(append(upTo(n), 99999))
			for b.Loop() {
				New(changed, o)
			}
		})
	}
}
