// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Healthy is what an upstream's health check says.
type Healthy struct {
	// Start is the start of the upstream that answers, if it says.
	Start string
	// Load is what it tells of its load.
	Load Load
}

// Health asks the health check of the upstream at addr once. An error means that
// the upstream is not there, or does not call itself healthy.
func Health(ctx context.Context, addr, path string, names Names, timeout time.Duration) (Healthy, error) {
	p := &Poller{
		Names:   names,
		Timeout: timeout,
	}
	defer p.Close()
	return p.ask(ctx, addr, path)
}

// Poller asks a health check time and again over one connection. The exported
// fields are set before the first call, and its methods are called by one
// goroutine.
type Poller struct {
	// Names are the header fields that the upstream uses.
	Names Names
	// Timeout bounds one question.
	Timeout time.Duration
	// Observed is called with the load that an answer tells.
	Observed func(Load)

	client *http.Client
}

// Poll asks once. An upstream that does not answer is passed over: the requests
// that it is sent say more than its health check.
func (p *Poller) Poll(ctx context.Context, addr, path string) {
	h, err := p.ask(ctx, addr, path)
	if (err == nil || h.Start != "") && h.Load.Slots > 0 {
		p.Observed(h.Load)
	}
}

// ask makes one call.
func (p *Poller) ask(ctx context.Context, addr, path string) (Healthy, error) {
	if p.client == nil {
		p.client = &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: p.Timeout}).DialContext,
				MaxIdleConnsPerHost: 1,
				DisableCompression:  true,
			},
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return Healthy{}, eris.Wrap(err, "health check")
	}
	response, err := p.client.Do(r)
	if err != nil {
		return Healthy{}, eris.Wrap(err, "health check")
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBody)) // so that the connection is used again
	h := Healthy{Start: response.Header.Get(p.Names.Instance)}
	if text := response.Header.Get(p.Names.Load); text != "" {
		if h.Load, err = ParseLoad(text); err != nil {
			return h, err
		}
	}
	if response.StatusCode != http.StatusOK {
		return h, eris.Errorf("health check: status %d", response.StatusCode)
	}
	return h, nil
}

// maxHealthBody is what is read of the body of a health check, in bytes.
const maxHealthBody = 4 << 10

// Close closes the connection.
func (p *Poller) Close() {
	if p.client != nil {
		p.client.CloseIdleConnections()
	}
}
