// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// DecodeEach decodes the elements of a JSON array one by one. Other programs write
// objects too, so a malformed element is left out without affecting the others, and
// skipped, if not nil, is called with the reason.
func DecodeEach[T any](list []json.RawMessage, skipped func(reason error)) []*T {
	decoded := make([]*T, 0, len(list))
	for _, data := range list {
		v := new(T)
		err := json.Unmarshal(data, v)
		if err == nil && bytes.Equal(data, []byte("null")) {
			err = eris.New("object is null")
		}
		if err == nil {
			decoded = append(decoded, v)
			continue
		}
		if skipped != nil {
			skipped(err)
		}
	}
	return decoded
}
