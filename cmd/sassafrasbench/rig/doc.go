// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rig runs the system as real processes on loopback: a fake
// platform, fake upstreams and a node beside each upstream. It is used by
// tests, the demonstration and the experiments.
//
// Each node has a loopback address of its own, with the same ports at each address.
package rig
