// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package claim prevents a request that a caller resends, through any node, from running twice.
//
// Before a non-idempotent request with an Idempotency-Key runs, a Claim object whose name is derived from the
// service and the key is created on the platform. If the request is sent several times, one of the copies
// creates the object and runs; the others find it and get their response from its content. The response is
// written to the object afterwards. If the node crashes in between, the object stays unchanged, and a resent
// request is refused because the first one may have run.
//
// This is the run-once ledger of the paper on resumable long-running tasks in the project's reading list, with
// the difference that the claim precedes the run: a request that may have run is never run again. The header is
// that of the IETF draft draft-ietf-httpapi-idempotency-key-header.
//
// Each claim costs two writes on the platform, so that claims have to be enabled per service, and each node has
// a budget of claims. If the platform is unavailable or the budget is exceeded, the request is refused as not
// run.
package claim
