// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// request is a call to be made.
type request struct {
	method, path string
	body         []byte // or nil
}

// exchange makes a call and returns the response, whose status may be any. A call that reads is made a second time, on a
// new connection, if its connection had been used before and has been silent for c.SilenceTimeout: the first response
// counts.
func (c *JSONClient) exchange(ctx context.Context, q request) (*http.Response, error) {
	wait, limited := expectedWait(ctx)
	if q.method != http.MethodGet || c.SilenceTimeout == 0 || !limited {
		return c.attempt(ctx, q, new(connUse))
	}
	type result struct {
		response *http.Response
		err      error
		number   int
	}
	results := make(chan result, 2)
	var cancels []context.CancelFunc
	start := func(use *connUse) {
		number := len(cancels)
		limited, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			r, err := c.attempt(limited, q, use)
			results <- result{
				response: r,
				err:      err,
				number:   number,
			}
		}()
	}
	var first connUse
	start(&first)
	silence := time.NewTimer(wait + c.SilenceTimeout)
	defer silence.Stop()
	for pending := 1; ; {
		select {
		case <-silence.C:
			if _, reused := first.reused(); reused {
				c.silent(wait + c.SilenceTimeout)
				start(new(connUse))
				pending++
			}
		case r := <-results:
			pending--
			if r.err != nil && pending > 0 {
				continue
			}
			for i, cancel := range cancels {
				if i != r.number {
					cancel()
				}
			}
			if pending > 0 {
				go func() { discard((<-results).response) }()
			}
			if r.err != nil {
				cancels[r.number]()
				return nil, r.err
			}
			r.response.Body = &cancelBody{
				ReadCloser: r.response.Body,
				cancel:     cancels[r.number],
			}
			return r.response, nil
		}
	}
}

// attempt makes a call once.
func (c *JSONClient) attempt(ctx context.Context, q request, use *connUse) (*http.Response, error) {
	if c.Limiter != nil {
		if err := c.Limiter.Wait(ctx); err != nil {
			return nil, notSent(err)
		}
	}
	var reader io.Reader
	if q.body != nil {
		reader = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(use.trace(ctx), q.method, c.URL+q.path, reader)
	if err != nil {
		return nil, notSent(err)
	}
	// Without GetBody, net/http can't send a write a second time on its own.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	c.calls.Add(1)
	response, err := c.httpClient().Do(r)
	if err == nil {
		return response, nil
	}
	if dialFailed(err) {
		return nil, notSent(err)
	}
	if _, reused := use.reused(); reused {
		c.httpClient().CloseIdleConnections()
	}
	return nil, readError(use.annotate(err))
}

// silent handles a connection that has been silent for the given time. The other open ones may be as well.
func (c *JSONClient) silent(silence time.Duration) {
	c.httpClient().CloseIdleConnections()
	if c.OnSilence != nil {
		c.OnSilence(silence)
	}
}

func (c *JSONClient) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}

// discard closes a response that is not needed, which may be nil.
func discard(r *http.Response) {
	if r != nil {
		_ = r.Body.Close()
	}
}

// cancelBody is a response body whose call is cancelled once it is closed.
type cancelBody struct {
	io.ReadCloser
	once   sync.Once
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.cancel)
	return err
}
