// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package httpfield

import (
	"net/http"

	"sassafrasfront.example/peer"
)

// spareFields is the spare capacity for fields that are added after a conversion.
const spareFields = 4

// FromHeader returns the fields of h, one for each value.
func FromHeader(h http.Header) []peer.Field {
	fields := make([]peer.Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, peer.Field{
				Name:  name,
				Value: v,
			})
		}
	}
	return fields
}

// ToHeader returns fields as an http.Header.
func ToHeader(fields []peer.Field) http.Header {
	h := make(http.Header, len(fields)+spareFields)
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	return h
}
