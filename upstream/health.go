// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
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

// Health asks the health check of the upstream at addr. An error means that the
// upstream is not there, or does not call itself healthy.
func Health(ctx context.Context, addr, path string, names Names, timeout time.Duration) (Healthy, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return Healthy{}, eris.Wrap(err, "health check")
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: timeout}).DialContext,
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(r)
	if err != nil {
		return Healthy{}, eris.Wrap(err, "health check")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Healthy{}, eris.Errorf("health check: status %d", response.StatusCode)
	}
	h := Healthy{Start: response.Header.Get(names.Instance)}
	if text := response.Header.Get(names.Load); text != "" {
		if h.Load, err = ParseLoad(text); err != nil {
			return h, err
		}
	}
	return h, nil
}
