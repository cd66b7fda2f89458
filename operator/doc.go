// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package operator holds what operators write and read through the platform's
// object API: the kinds of resources, their defaults and their checks.
//
// The checks here are the only ones. The daemons use them to accept a change,
// and the command line tool to validate a file offline, so both say the same.
// A fault names the field in camel case with dots and indexes, such as
// classes[1].weight.
package operator
