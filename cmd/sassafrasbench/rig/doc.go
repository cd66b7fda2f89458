// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rig starts the system as real processes on loopback: a platform
// stand-in, upstream stand-ins and a node beside each. It is scaffolding for
// tests, the demonstration and the experiments.
//
// Each node has a loopback address of its own and the same ports everywhere.
package rig
