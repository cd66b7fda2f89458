// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package representative has one node of each availability zone talk to the platform for all nodes
// of the zone, where each service has its own configuration.
//
// The representative accepts configurations, writes their statuses, looks for zones that its own
// zone does not know, deletes expired claims, and has silent nodes removed. It is elected by a
// lease on the platform, for which three candidates of each zone compete. The lease only
// saves calls: the system stays correct while two nodes believe that they hold it, because all
// their writes are conditional.
//
// The package keeps no state of the system: it reads that from a Node, and passes new state
// to the Node. Where the configuration is one table of routes there is no representative.
package representative
