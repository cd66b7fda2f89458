// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// progressChecks is the number of checks for progress within a timeout.
const progressChecks = 4

// WithProgressTimeout returns a context for requests of the client that ends once nothing has been received from the peer for
// the timeout. The size of a reply, and so its whole time, is not bounded: others choose it.
func (c *Client) WithProgressTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	received, at := c.ReceivedBytes(), time.Now()
	go func() {
		check := time.NewTicker(timeout / progressChecks)
		defer check.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-check.C:
				if n := c.ReceivedBytes(); n != received {
					received, at = n, now
				}
				if now.Sub(at) >= timeout {
					cancel(eris.Errorf("nothing received for %v", timeout))
					return
				}
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}
