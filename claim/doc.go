// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package claim keeps a request that a caller sends again, through whichever
// node, from running twice.
//
// Before a non-idempotent request with an Idempotency-Key runs, a Claim object
// with a name made of the service and the key is created on the platform. Of
// several sendings one creates it and runs; the others find it and are answered
// from what it says. The answer is written into the object afterwards. If the
// node dies in between, the object stays as it was, and a resent request is told
// that the first one may have run.
//
// This is the run-once ledger of the paper on resumable long-running tasks in
// the project's reading list, with the difference that the claim comes before
// the run: work that may have run is never run again. The header is that of the
// IETF draft draft-ietf-httpapi-idempotency-key-header.
//
// Each claim costs two writes on the platform, so a service has to ask for it,
// and each node has a budget of claims. Without the platform, or beyond the
// budget, the request is refused as not run.
package claim
