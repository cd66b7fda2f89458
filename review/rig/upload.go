// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// The times of the case "upload", counted from the start of the uploads.
const (
	uploadCount    = 60                      // uploads at the same time
	uploadLeaveAt  = 200 * time.Millisecond  // a backend says that it drains
	uploadBodyAt   = 2500 * time.Millisecond // the clients have the first part of their bodies
	uploadExitAt   = 2650 * time.Millisecond // the backend leaves and exits
	uploadDeadline = 3 * time.Second
	uploadWork     = 260 * time.Millisecond
	uploadPart     = 20 << 10 // bytes in each of the three parts of a body
)

// slowBody is a body whose first part is available at a later time.
type slowBody struct {
	at    time.Time
	parts []string
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Until(b.at))
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; b.parts[0] == "" {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// lateUpload has a backend drain while requests are admitted there whose bodies, which are sent in
// chunks, have not begun.
func lateUpload(o *options) (broken bool, err error) {
	s, err := newSystem(6, uploadWork, o.root, o.dir, o.log)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.start(
		route{Name: "r-zji9n73", PathPrefix: "/lohu930/", Kind: "idempotent", TimeoutS: 2.5, TargetLatencyS: 0.6, Priority: 2, Service: service, MaxAttempts: 2},
		route{Name: "r-hh2b9wu", PathPrefix: "/pufi791/", Kind: "upload", TimeoutS: 3, TargetLatencyS: 0.8, Priority: 1, Service: service, MaxAttempts: 2},
	); err != nil {
		return false, err
	}
	m := s.machines[0]
	b := m.backend
	began := time.Now()
	until := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	o.log.add("the uploads begin")
	for n := range uploadCount {
		body := &slowBody{at: began.Add(uploadBodyAt)}
		for range 3 {
			body.parts = append(body.parts, strings.Repeat("x", uploadPart))
		}
		s.clients.wait.Go(func() {
			s.clients.send(s.machines[1+n%5], http.MethodPost, "/pufi791/2f", uploadDeadline, body)
		})
	}
	if !o.trouble {
		s.clients.wait.Wait()
		failed := 0
		for _, a := range s.clients.attempts {
			if a.method == http.MethodPost && a.status != http.StatusOK {
				failed++
			}
		}
		o.log.result("uploads that failed: %d of %d", failed, uploadCount)
		return failed > 0, nil
	}
	until(uploadLeaveAt)
	s.stopBeats[m]()
	b.leaving.Store(true)
	acked := b.heartbeat(b.control, "draining")
	ackedAt := time.Now()
	if !acked {
		return false, errors.New("the node did not acknowledge that the backend drains")
	}
	until(uploadExitAt)
	b.leave()
	b.exit()
	exitedAt := time.Now()
	s.clients.wait.Wait()
	return s.judgeDrain(b, ackedAt, ackedAt.Add(drainTime), exitedAt), nil
}
