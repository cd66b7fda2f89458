// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupBits is the binary logarithm of the number of children of an inner
	// node of the hash tree. The tree has a root, groups and leaves.
	groupBits = 6
	// GroupCount is the number of children of the root, and of each group.
	GroupCount = 1 << groupBits
	// LeafCount is the number of leaves.
	LeafCount = GroupCount * GroupCount
)

// Version orders the versions of one record: by Major, then by Minor.
type Version struct {
	Major uint64 `msgpack:"a"`
	Minor uint64 `msgpack:"i"`
}

// Less returns whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Major < w.Major || v.Major == w.Major && v.Minor < w.Minor
}

// Record is an element of a Set.
type Record interface {
	// Key identifies the record.
	Key() string
	// GossipVersion is the record's version. The newer version replaces the older one.
	GossipVersion() Version
}

// Set holds the newest version of each record. The zero value is empty. It is
// not safe for concurrent use.
type Set[R Record] struct {
	leaves [LeafCount]map[string]R
	hashes [LeafCount]uint64
	groups [GroupCount]uint64
	root   uint64
	count  int
}

// leafOf returns the index of the leaf that holds a key.
func leafOf(key string) int {
	return int(xxhash.Sum64String(key) >> (64 - 2*groupBits))
}

// hash returns the hash of a record's key and version.
func hash(r Record) uint64 {
	v := r.GossipVersion()
	b := make([]byte, 0, 64)
	b = append(b, r.Key()...)
	b = binary.BigEndian.AppendUint64(b, v.Major)
	b = binary.BigEndian.AppendUint64(b, v.Minor)
	return xxhash.Sum64(b)
}

// Put stores a record if it is newer than the one stored under its key, and
// returns whether it was.
func (s *Set[R]) Put(r R) bool {
	key := r.Key()
	i := leafOf(key)
	old, ok := s.leaves[i][key]
	if ok && !old.GossipVersion().Less(r.GossipVersion()) {
		return false
	}
	if ok {
		s.toggle(i, hash(old))
	} else {
		s.count++
	}
	if s.leaves[i] == nil {
		s.leaves[i] = make(map[string]R)
	}
	s.leaves[i][key] = r
	s.toggle(i, hash(r))
	return true
}

// Remove removes the record under a key. Another node may still send it again.
func (s *Set[R]) Remove(key string) {
	i := leafOf(key)
	if old, ok := s.leaves[i][key]; ok {
		delete(s.leaves[i], key)
		s.toggle(i, hash(old))
		s.count--
	}
}

// toggle adds the hash h to leaf i and the hashes above it, or removes it again.
func (s *Set[R]) toggle(i int, h uint64) {
	s.hashes[i] ^= h
	s.groups[i>>groupBits] ^= h
	s.root ^= h
}

// Get returns the record under a key.
func (s *Set[R]) Get(key string) (R, bool) {
	r, ok := s.leaves[leafOf(key)][key]
	return r, ok
}

// Len returns the number of records.
func (s *Set[R]) Len() int { return s.count }

// RootHash returns the hash over all records. Two sets with the same records have
// the same hash. Two sets with different records have different hashes, except with a
// probability of 2⁻⁶⁴.
func (s *Set[R]) RootHash() uint64 { return s.root }

// GroupHashes returns the hashes of all groups.
func (s *Set[R]) GroupHashes() []uint64 { return slices.Clone(s.groups[:]) }

// LeafHashes returns the hashes of the leaves of group g. It panics if there is no
// such group.
func (s *Set[R]) LeafHashes(g int) []uint64 {
	return slices.Clone(s.hashes[g<<groupBits : (g+1)<<groupBits])
}

// All calls yield with each record, until yield returns false.
func (s *Set[R]) All(yield func(R) bool) {
	for _, leaf := range s.leaves {
		for _, r := range leaf {
			if !yield(r) {
				return
			}
		}
	}
}

// Versions returns the versions of the records in a leaf.
func (s *Set[R]) Versions(leaf int) map[string]Version {
	m := make(map[string]Version, len(s.leaves[leaf]))
	for key, r := range s.leaves[leaf] {
		m[key] = r.GossipVersion()
	}
	return m
}

// Digests returns the hashes of the records in the groups, each over key and version. It panics
// if there is no such group.
func (s *Set[R]) Digests(groups []int) []uint64 {
	var list []uint64
	s.each(groups, func(r R) { list = append(list, hash(r)) })
	return list
}

// DiffDigests returns the records in the groups whose digests are not among the given ones, and
// the given digests that match no record in the groups. It panics if there is no such group.
func (s *Set[R]) DiffDigests(groups []int, digests []uint64) (records []R, unknown []uint64) {
	theirs := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		theirs[d] = true
	}
	s.each(groups, func(r R) {
		d := hash(r)
		if !theirs[d] {
			records = append(records, r)
		}
		delete(theirs, d)
	})
	for _, d := range digests {
		if theirs[d] {
			unknown = append(unknown, d)
		}
	}
	return records, unknown
}

// WithDigests returns the records in the groups that have one of the given digests.
func (s *Set[R]) WithDigests(groups []int, digests []uint64) (records []R) {
	wanted := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		wanted[d] = true
	}
	s.each(groups, func(r R) {
		if wanted[hash(r)] {
			records = append(records, r)
		}
	})
	return records
}

// each calls f with each record in the groups.
func (s *Set[R]) each(groups []int, f func(R)) {
	for _, g := range groups {
		for _, leaf := range s.leaves[g<<groupBits : (g+1)<<groupBits] {
			for _, r := range leaf {
				f(r)
			}
		}
	}
}

// Newer returns the records in a leaf that are newer than the given versions,
// or not among them.
func (s *Set[R]) Newer(leaf int, than map[string]Version) []R {
	var list []R
	for key, r := range s.leaves[leaf] {
		if v, ok := than[key]; !ok || v.Less(r.GossipVersion()) {
			list = append(list, r)
		}
	}
	return list
}

// Scan returns the records of the leaves from the given one on, until there are
// at least n, and the next leaf to scan, which is LeafCount at the end.
func (s *Set[R]) Scan(leaf, n int) ([]R, int) {
	var list []R
	for ; leaf < LeafCount && len(list) < n; leaf++ {
		for _, r := range s.leaves[leaf] {
			list = append(list, r)
		}
	}
	return list, leaf
}

// Differing returns the indexes at which two lists of hashes differ. Elements
// missing from the shorter list differ.
func Differing(a, b []uint64) []int {
	var list []int
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			list = append(list, i)
		}
	}
	return list
}
