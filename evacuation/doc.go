// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package evacuation tracks the availability zones from which an operator has withdrawn
// traffic.
//
// The operator writes one object for each evacuated zone to the platform and removes it again. A
// Set holds the zones at one resource version of the platform; the latest Set is active. A platform that is
// restored from a backup may have lost some zones. State keeps these evacuated until the
// operator has had time to write them again. Nodes exchange Sets like
// configurations, so that one node's reads are enough for all. The package does no input or
// output besides the platform's one call, and starts no goroutine.
package evacuation
