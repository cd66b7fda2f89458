// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package settings reads a node's settings from a YAML file, flags and
// environment variables, and checks them.
//
// Each setting has one name, in camel case: pledge: x in the file, -pledge x on
// the command line, SASSAFRAS_PLEDGE=x in the environment. Flags take precedence
// over variables, and variables over the file. All errors are reported at once,
// those in the file with their line.
package settings
