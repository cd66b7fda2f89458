// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package reconcile

import "sassafrasfront.example/gossip"

// BatchBytes is the largest size of a message with more than one record. Operators choose the sizes of some
// records, and a message must not be larger than a frame.
const BatchBytes = 256 << 10

// sized is implemented by records whose encoded size varies.
type sized interface {
	// EncodedBytes returns the approximate encoded size.
	EncodedBytes() int
}

// defaultRecordBytes is the assumed encoded size of other records.
const defaultRecordBytes = 256

// EncodedBytes returns the approximate encoded size of a record.
func EncodedBytes[R gossip.Record](r R) int {
	if s, ok := any(r).(sized); ok {
		return s.EncodedBytes()
	}
	return defaultRecordBytes
}

// batchLen returns the number of records at the beginning of a list that fit into one message, at least one if
// there is any.
func batchLen[R gossip.Record](list []R) int {
	size := 0
	for i, r := range list[:min(len(list), bulkRecords)] {
		size += EncodedBytes(r)
		if i > 0 && size > BatchBytes {
			return i
		}
	}
	return min(len(list), bulkRecords)
}

// public returns the records of a list that are sent to other nodes.
func (e *Exchange[R]) public(list []R) []R {
	if e.Private == nil {
		return list
	}
	var kept []R
	for _, r := range list {
		if !e.Private(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// batch returns the records of a list that are sent in one message. The others differ in the next comparison.
func (e *Exchange[R]) batch(list []R) []R {
	list = e.public(list)
	return list[:batchLen(list)]
}

// scan returns a batch with the records of the leaves from the given one on, and the leaf to continue from.
func (e *Exchange[R]) scan(leaf int) (list []R, next int) {
	size := 0
	for leaf < gossip.LeafCount && len(list) < bulkRecords {
		more, after := e.Set.Scan(leaf, 1)
		more = e.public(more)
		for _, r := range more {
			size += EncodedBytes(r)
		}
		if len(list) > 0 && size > BatchBytes {
			break
		}
		list = append(list, more...)
		leaf = after
	}
	return list, leaf
}
