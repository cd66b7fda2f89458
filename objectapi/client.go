// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// Client implements API over HTTP. The exported fields are set before the first
// call.
type Client struct {
	JSONClient
	// Namespace is the namespace of the system's objects.
	Namespace string
	// WatchTimeout is how long the platform is asked to keep a watch open. Zero
	// means 30 s.
	WatchTimeout time.Duration
}

const (
	defaultWatchTimeout = 30 * time.Second
	// watchGrace is how much longer than WatchTimeout a watch may be silent.
	watchGrace = 5 * time.Second
)

// Get implements API.
func (c *Client) Get(ctx context.Context, kind, name string) (*Object, error) {
	return c.object(ctx, http.MethodGet, ObjectPath(c.Namespace, kind, name), nil)
}

// List implements API.
func (c *Client) List(ctx context.Context, kind string) (*List, error) {
	return c.list(ctx, ObjectPath(c.Namespace, kind, ""))
}

// ListStale implements API.
func (c *Client) ListStale(ctx context.Context, kind string) (*List, error) {
	return c.list(ctx, ObjectPath(c.Namespace, kind, "")+"?resourceVersion=0")
}

// list reads a list.
func (c *Client) list(ctx context.Context, path string) (*List, error) {
	var response struct {
		Metadata Metadata          `json:"metadata"`
		Items    []json.RawMessage `json:"items"`
	}
	if _, err := c.Do(ctx, http.MethodGet, path, nil, &response); err != nil {
		return nil, err
	}
	return &List{
		Metadata: response.Metadata,
		Items:    DecodeEach[Object](response.Items, c.OnSkipped),
	}, nil
}

// Create implements API.
func (c *Client) Create(ctx context.Context, o *Object) (*Object, error) {
	return c.object(ctx, http.MethodPost, ObjectPath(c.Namespace, o.Kind, ""), o)
}

// Update implements API.
func (c *Client) Update(ctx context.Context, o *Object) (*Object, error) {
	return c.object(ctx, http.MethodPut, ObjectPath(c.Namespace, o.Kind, o.Metadata.Name), o)
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, kind, name, version string) error {
	p := ObjectPath(c.Namespace, kind, name) + "?resourceVersion=" + url.QueryEscape(version)
	_, err := c.Do(ctx, http.MethodDelete, p, nil, nil)
	return err
}

// object makes a call whose response is an object.
func (c *Client) object(ctx context.Context, method, path string, body any) (*Object, error) {
	var o Object
	_, err := c.Do(ctx, method, path, body, &o)
	return &o, err
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, kind, version string, f func(Event)) error {
	timeout := c.WatchTimeout
	if timeout == 0 {
		timeout = defaultWatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+watchGrace)
	defer cancel()
	query := url.Values{
		"watch":           {"1"},
		"resourceVersion": {version},
		"timeoutSeconds":  {strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64)},
	}
	r, err := c.Call(ctx, http.MethodGet, ObjectPath(c.Namespace, kind, "")+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, 2*MaxObjectBytes)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Object == nil {
			return readError(eris.Errorf("malformed watch event: %v", err))
		}
		if e.Type == failed {
			return &Error{
				Status:  http.StatusGone,
				Verdict: verdict.Ran,
				Err:     eris.New("watch ended with an error event"),
			}
		}
		f(e)
	}
	if err := lines.Err(); err != nil {
		return readError(err)
	}
	return nil
}
