// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package representative has one node of each availability zone talk to the platform for all of
// them, where each service has a configuration of its own.
//
// The representative accepts configurations, writes their statuses, looks for zones that its own
// has lost, deletes claims whose time is over, and has silent nodes removed. Who it is, is
// decided by a lease on the platform, which three candidates of each zone look after. The lease
// saves calls: nothing breaks where two nodes think that they hold it, as all that they
// write they write under a condition.
//
// The package keeps no state of the system: it has that from a Node, and puts what it learns
// there. Where the configuration is one table of routes there is no representative.
package representative
