// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Group and GroupVersion name the API group of the system's kinds.
const (
	Group        = "sassafrasfront.example"
	GroupVersion = Group + "/v1"
)

// MaxValue is the largest object that the platform takes, in bytes.
const MaxObjectBytes = 1 << 20

// Metadata is the part of an object that the platform knows.
type Metadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Object is one object. It is an immutable value.
type Object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	// Status is what the system has written of what became of the spec, if anything.
	Status json.RawMessage `json:"status,omitempty"`
}

// NewObject returns an object with the given spec, which is encoded as JSON. It
// panics if the spec can't be encoded.
func NewObject(kind, name string, spec any) *Object {
	data, err := json.Marshal(spec)
	if err != nil {
		panic("objectapi: spec can't be encoded: " + err.Error())
	}
	return &Object{
		APIVersion: GroupVersion,
		Kind:       kind,
		Metadata: Metadata{
			Name: name,
		},
		Spec: data,
	}
}

// WithVersion returns a copy of o that names the resource version v.
func (o *Object) WithResourceVersion(v string) *Object {
	c := *o
	c.Metadata.ResourceVersion = v
	return &c
}

// WithStatus returns a copy of o with the given status, which is encoded as JSON. It panics if
// the status can't be encoded.
func (o *Object) WithStatus(status any) *Object {
	data, err := json.Marshal(status)
	if err != nil {
		panic("objectapi: status can't be encoded: " + err.Error())
	}
	c := *o
	c.Status = data
	return &c
}

// withAnnotation returns a copy of o with one more annotation.
func (o *Object) withAnnotation(key, value string) *Object {
	c := *o
	c.Metadata.Annotations = map[string]string{key: value}
	for k, v := range o.Metadata.Annotations {
		if k != key {
			c.Metadata.Annotations[k] = v
		}
	}
	return &c
}

// Version returns the revision of the resource version, or 0 if it is none. It tells
// versions of one era apart only.
func (o *Object) Revision() uint64 { return ParseRevision(o.Metadata.ResourceVersion) }

// ParseVersion returns the revision of a resource version, or 0 if it is none.
func ParseRevision(v string) uint64 { return versionOrZero(v).Revision }

// pointOf returns the Point of a resource version, or the zero Point if it is none.
func versionOrZero(version string) ResourceVersion {
	p, err := ParseResourceVersion(version)
	if err != nil {
		return ResourceVersion{}
	}
	return p
}

// SpecOf decodes the spec of o.
func DecodeSpec[T any](o *Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return v, eris.Wrapf(err, "spec of %s %s", o.Kind, o.Metadata.Name)
	}
	return v, nil
}

// List is all objects of a kind at one resource version.
type List struct {
	Metadata Metadata  `json:"metadata"`
	Items    []*Object `json:"items"`
}

// The types of events.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED"
	failed   = "ERROR"
)

// Event is a change of an object.
type Event struct {
	Type   string  `json:"type"`
	Object *Object `json:"object"`
}

// Path returns the path of a kind's collection, or of one object if the name
// is not empty.
func ObjectPath(namespace, kind, name string) string {
	p := "/apis/" + GroupVersion + "/namespaces/" + namespace + "/" + plural(kind)
	if name != "" {
		p += "/" + name
	}
	return p
}

// plural returns the name of a kind's collection.
func plural(kind string) string {
	p := strings.ToLower(kind)
	if strings.HasSuffix(p, "s") {
		return p + "es"
	}
	return p + "s"
}
