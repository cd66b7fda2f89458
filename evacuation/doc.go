// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package evacuation knows from which availability zones an operator has withdrawn the
// traffic.
//
// The operator writes one object a zone to the platform and removes it again. A Set is
// what stood there at one Point of the platform; the latest is in force. When the platform
// comes back from a copy, it may have lost some of them: State keeps these in force until
// the operator has had time to write them again. Nodes pass Sets on as they do
// configurations, so that one node's reads are enough for all. The package does no input or
// output beside the platform's one call, and starts no goroutine.
package evacuation
