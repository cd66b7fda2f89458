// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrNoClient is the error of a request without a client, as on a node that has stopped.
var ErrNoClient = eris.New("no client for the request")

// ErrRefused is the root of the errors of control requests that the peer has refused.
var ErrRefused = errors.New("refused by the peer")

// ErrPending is the root of the errors of control requests that ended while the peer, which is not silent, had not replied.
var ErrPending = errors.New("no reply yet")

// SendRequest sends a control request to a peer and decodes its reply.
func SendRequest[Q, A any](ctx context.Context, p *Client, topic string, q Q) (A, error) {
	return sendRequest[Q, A](ctx, p, topic, q, maxRequestLinks)
}

// SendRequestOnce is like SendRequest, but sends the request on one connection only. It is for requests with large replies that are
// sent to another peer if no reply comes.
func SendRequestOnce[Q, A any](ctx context.Context, p *Client, topic string, q Q) (A, error) {
	return sendRequest[Q, A](ctx, p, topic, q, 1)
}

// sendRequest sends a control request on the given number of connections at most, and decodes the reply.
func sendRequest[Q, A any](ctx context.Context, p *Client, topic string, q Q, links int) (A, error) {
	var none A
	if p == nil {
		return none, ErrNoClient
	}
	payload, err := msgpack.Marshal(q)
	if err != nil {
		return none, eris.Wrap(err, "encode "+topic)
	}
	reply, err := p.request(ctx, topic, payload, links)
	if err != nil {
		return none, err
	}
	return Unpack[A](reply)
}

// Unpack decodes the payload of a control request or its reply.
func Unpack[T any](payload []byte) (T, error) {
	var v T
	if !HasValidLengths(payload) {
		return v, eris.Wrap(ErrProtocol, "decode: declared length exceeds the remaining bytes")
	}
	if err := msgpack.Unmarshal(payload, &v); err != nil {
		return v, eris.Wrap(err, "decode")
	}
	return v, nil
}

// maxRequestLinks is the number of connections on which a control request is sent at most.
const maxRequestLinks = 3

// Request sends a control request and returns the payload of its reply. Once the connection is silent, it sends the
// request again on a new one, and returns the reply that comes first: the peer may handle a request more than once. If ctx
// ends while the peer has not replied and is not silent, the error is ErrPending.
func (c *Client) Request(ctx context.Context, topic string, payload []byte) ([]byte, error) {
	return c.request(ctx, topic, payload, maxRequestLinks)
}

// request sends a control request on the given number of connections at most.
func (c *Client) request(ctx context.Context, topic string, payload []byte, links int) ([]byte, error) {
	p, err := c.sendRequest(ctx, topic, payload)
	if err != nil {
		return nil, err
	}
	defer p.end()
	silent := p.silent
	if links == 1 {
		silent = nil
	}
	reply, err := p.wait(ctx, silent)
	if !errors.Is(err, errSilent) {
		return reply, err
	}
	type result struct {
		payload []byte
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	for _, f := range []func() ([]byte, error){
		func() ([]byte, error) { return p.wait(ctx, nil) },
		func() ([]byte, error) { return c.request(ctx, topic, payload, links-1) },
	} {
		go func() {
			payload, err := f()
			results <- result{
				payload: payload,
				err:     err,
			}
		}()
	}
	first := <-results
	if first.err != nil {
		first = <-results
	}
	return first.payload, first.err
}

// pendingRequest is a control request that was sent on a connection.
type pendingRequest struct {
	*Request
	client *Client
	link   *link
	began  time.Time
	sent   chan error
	reply  chan *Reply
	silent <-chan struct{} // closed once the connection is silent
}

// sendRequest sends a control request on the connection for new calls. The caller calls end on the result.
func (c *Client) sendRequest(ctx context.Context, topic string, payload []byte) (*pendingRequest, error) {
	l, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	p := &pendingRequest{
		Request: &Request{
			Topic:   topic,
			Payload: payload,
		},
		client: c,
		link:   l,
		began:  time.Now(),
		sent:   make(chan error, 1),
		reply:  make(chan *Reply, 1),
	}
	p.ID, p.silent = l.addRequest(p.reply)
	go func() { p.sent <- l.send(KindRequest, p.Request) }() // a write may block in the kernel
	return p, nil
}

// errSilent means that a connection was found silent while a request was pending on it.
var errSilent = errors.New("connection silent")

// wait returns the payload of the reply, or errSilent once silent is closed.
func (p *pendingRequest) wait(ctx context.Context, silent <-chan struct{}) ([]byte, error) {
	for {
		select {
		case r := <-p.reply:
			return p.client.finish(p, r)
		case err := <-p.sent:
			if err != nil {
				return nil, err
			}
		case <-p.link.closed:
			return nil, p.link.closeReason()
		case <-ctx.Done():
			return nil, p.unfinished(ctx)
		case <-silent:
			return nil, errSilent
		}
	}
}

// end ends the request. A reply that comes later is ignored.
func (p *pendingRequest) end() { p.link.removeRequest(p.ID) }

// unfinished returns the error of a request that has got no reply by the end of ctx. The next request does not wait for the same
// connection if nothing has been received on it meanwhile.
func (p *pendingRequest) unfinished(ctx context.Context) error {
	usable := p.link.usable()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && p.link.silence() >= time.Since(p.began) {
		p.link.probe()
	}
	if usable {
		return fmt.Errorf("%w: %w", ErrPending, context.Cause(ctx))
	}
	return context.Cause(ctx)
}

// finish counts the request, which has got a reply, and returns the result.
func (c *Client) finish(p *pendingRequest, r *Reply) ([]byte, error) {
	c.Counters.recordRequest(p.Topic, len(p.Payload), len(r.Payload))
	c.recordReplyTime(time.Since(p.began))
	if r.Detail != "" {
		return nil, fmt.Errorf("%w: %s", ErrRefused, r.Detail)
	}
	return r.Payload, nil
}
