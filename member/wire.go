// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// wireFields is the number of fields of a record on the wire. Records of later program versions
// may have more, which are ignored.
const wireFields = 13

// wire returns the fields in wire order. They are sent without names, because records are most
// of the traffic between nodes while many start.
func (r *Record) wire() []any {
	return []any{&r.ID, &r.Addr, &r.Zone, &r.Region, &r.Service, &r.Slots, &r.State, &r.Incarnation, &r.Version, &r.Software, &r.Canary, &r.PlatformUnreachable, &r.WrittenAt}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r Record) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(wireFields); err != nil {
		return err
	}
	return e.EncodeMulti(r.ID, r.Addr, r.Zone, r.Region, r.Service, r.Slots, string(r.State), r.Incarnation, r.Version, r.Software, r.Canary, r.PlatformUnreachable, r.WrittenAt)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Record) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < wireFields {
		return eris.Errorf("record has %d fields, want at least %d", n, wireFields)
	}
	if err := d.DecodeMulti(r.wire()...); err != nil {
		return err
	}
	for range n - wireFields {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
