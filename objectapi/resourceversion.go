// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ResourceVersion is a version of the platform's state: a revision in an era. The era is
// incremented each time the platform is restored from a backup; revisions then go back and
// are assigned again. It is an immutable value; the zero value is less than all others.
type ResourceVersion struct {
	// Era is 0 on a platform that has no eras.
	Era uint64 `json:"era,omitempty" msgpack:"era,omitempty"`
	// Revision counts the changes of the platform, except those that a restore has lost.
	Revision uint64 `json:"revision" msgpack:"revision"`
}

// eraSeparator separates the era and the revision of a resource version.
const eraSeparator = "/"

// Less returns whether v is earlier than w.
func (v ResourceVersion) Less(w ResourceVersion) bool {
	return v.Era < w.Era || v.Era == w.Era && v.Revision < w.Revision
}

// String returns v as text: the revision alone in era 0, and otherwise the era, a slash and
// the revision.
func (v ResourceVersion) String() string {
	revision := strconv.FormatUint(v.Revision, 10)
	if v.Era == 0 {
		return revision
	}
	return strconv.FormatUint(v.Era, 10) + eraSeparator + revision
}

// ParseResourceVersion parses the text of a resource version.
func ParseResourceVersion(version string) (ResourceVersion, error) {
	era, revision, ok := strings.Cut(version, eraSeparator)
	if !ok {
		era, revision = "0", version
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return ResourceVersion{}, eris.Wrapf(err, "era of the resource version %q", version)
	}
	r, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return ResourceVersion{}, eris.Wrapf(err, "resource version %q", version)
	}
	return ResourceVersion{
		Era:      e,
		Revision: r,
	}, nil
}
