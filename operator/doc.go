// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package operator defines the resources that operators write and read through
// the platform's object API, with their defaults and their validation.
//
// The daemons validate changes with this package, and the command line tool
// validates files offline with it, so that both report the same errors.
// An error names its field in camel case with dots and indexes, such as
// classes[1].weight.
package operator
