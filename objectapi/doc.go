// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package objectapi is the client of the platform's object API.
//
// The API has the published shape of the Kubernetes resource API: JSON objects
// with a resource version, updates that fail with 409 unless they name the
// present version, lists, and watches that fail with 410 when they start too
// far in the past. API is the narrow interface that the rest of the system
// uses; Client is its implementation over HTTP.
//
// Every failure is an *Error. Its Verdict says whether a write may have taken
// effect: an answer can be lost after its write. Put resolves that by an id
// that it writes into the object and reads back.
//
// Resource versions are compared as numbers, which the API's conventions allow
// for objects of one kind.
package objectapi
