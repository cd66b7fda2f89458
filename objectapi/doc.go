// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package objectapi is the client of the platform's object API.
//
// The API follows the conventions of the Kubernetes resource API: JSON objects
// with a resource version, updates that fail with 409 unless they name the
// current version, lists, and watches that fail with 410 when they start too
// far in the past. API is the narrow interface that the rest of the system
// uses; Client implements it over HTTP.
//
// All errors are of type *Error. The Verdict says whether a write may have taken
// effect, as the response to a write may be lost. Put finds out by reading back
// an ID that it writes into the object.
//
// Resource versions are compared as numbers, which the API's conventions allow
// for objects of one kind.
package objectapi
