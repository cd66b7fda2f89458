// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package canary

import (
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/rollout"
)

// OrderReader decodes the orders that a Listing has read. The exported fields are set before the first
// call.
type OrderReader struct {
	// Decode decodes an order.
	Decode func(o *objectapi.Object) (rollout.StoredOrder, error)
	// Found is called with the orders that were read at a resource version. The argument complete is whether the
	// list is complete, so that orders missing from it have been withdrawn.
	Found func(found []rollout.StoredOrder, at objectapi.ResourceVersion, complete bool)
	// Refused, if not nil, is called with the reason why an order can't be used.
	Refused func(reason error)
}

// Handle handles a list of objects that was read. An order that can't be decoded does not count as
// withdrawn, and neither does one that is missing from a list that is not current.
func (r *OrderReader) Handle(items []*objectapi.Object, at objectapi.ResourceVersion, current bool) {
	complete := current
	var found []rollout.StoredOrder
	for _, o := range items {
		f, err := r.Decode(o)
		if err != nil {
			complete = false
			if r.Refused != nil {
				r.Refused(err)
			}
			continue
		}
		found = append(found, f)
	}
	r.Found(found, at, complete)
}
