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

// MaxObjectBytes is the size of the largest object that the platform accepts.
const MaxObjectBytes = 1 << 20

// Metadata is the metadata of an object.
type Metadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Object is an object of the platform. It is an immutable value.
type Object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	// Status is what the system has written about the spec, if anything.
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

// WithResourceVersion returns a copy of o with the resource version v.
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

// withAnnotation returns a copy of o with an additional annotation.
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

// Revision returns the revision in the resource version, or 0 if it is invalid. Revisions
// are comparable within one era only.
func (o *Object) Revision() uint64 { return ParseRevision(o.Metadata.ResourceVersion) }

// ParseRevision returns the revision in a resource version, or 0 if it is invalid.
func ParseRevision(v string) uint64 { return versionOrZero(v).Revision }

// versionOrZero parses a resource version. It returns the zero value if it is invalid.
func versionOrZero(version string) ResourceVersion {
	v, err := ParseResourceVersion(version)
	if err != nil {
		return ResourceVersion{}
	}
	return v
}

// DecodeSpec decodes the spec of o.
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

// ObjectPath returns the path of an object, or of the collection of the kind if
// the name is empty.
func ObjectPath(namespace, kind, name string) string {
	p := "/apis/" + GroupVersion + "/namespaces/" + namespace + "/" + plural(kind)
	if name != "" {
		p += "/" + name
	}
	return p
}

// plural returns the name of the collection of a kind.
func plural(kind string) string {
	p := strings.ToLower(kind)
	if strings.HasSuffix(p, "s") {
		return p + "es"
	}
	return p + "s"
}
