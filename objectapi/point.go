// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Point is a point in the time of the platform: a revision of one era. The era rises
// each time that the platform comes back from a copy; revisions then go back and are
// given out again. It is an immutable value; the zero value comes before all others.
type ResourceVersion struct {
	// Era is 0 on a platform that names none.
	Era uint64 `json:"era,omitempty" msgpack:"era,omitempty"`
	// Revision counts the changes of the platform within what the era knows.
	Revision uint64 `json:"revision" msgpack:"revision"`
}

// eraSeparator stands between the era and the revision of a resource version.
const eraSeparator = "/"

// Less returns whether p comes before q.
func (p ResourceVersion) Less(q ResourceVersion) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// String returns p as a resource version: the revision alone in era 0, and otherwise
// the era, a slash and the revision.
func (p ResourceVersion) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + eraSeparator + revision
}

// ParsePoint returns the Point that a resource version names.
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
