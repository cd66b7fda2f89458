// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spool_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"sassafrasfront.example/spool"
)

// slowReader returns a body in pieces, each after a pause, and then err.
type slowReader struct {
	pieces [][]byte
	pause  time.Duration
	err    error
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, s.err
	}
	time.Sleep(s.pause)
	n := copy(p, s.pieces[0])
	s.pieces = s.pieces[1:]
	return n, nil
}

// TestConcurrentReaders has a body read from its start by several attempts, which begin before it is
// received, meanwhile and afterwards: each must get the whole body, or the error that ended it.
func TestConcurrentReaders(t *testing.T) {
	broken := eris.New("broken")
	for name, end := range map[string]error{"complete": io.EOF, "broken": broken} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &spool.Body{
					Reader: &slowReader{
						pieces: [][]byte{[]byte("one "), []byte("two "), []byte("three")},
						pause:  time.Second,
						err:    end,
					},
					Length: 13,
				}
				var all sync.WaitGroup
				for _, after := range []time.Duration{0, 1500 * time.Millisecond, 10 * time.Second} {
					all.Go(func() {
						time.Sleep(after)
						began := time.Now()
						data, err := io.ReadAll(b.NewReader())
						qt.Check(t, string(data), qt.Equals, "one two three")
						qt.Check(t, err == nil, qt.Equals, end == io.EOF)
						qt.Check(t, time.Since(began), qt.Equals, max(0, 3*time.Second-after))
					})
				}
				all.Wait()
				receiveTime, complete := b.ReceiveTime()
				qt.Check(t, receiveTime, qt.Equals, 3*time.Second)
				qt.Check(t, complete, qt.Equals, end == io.EOF)
			})
		})
	}
}

// TestReader checks the reader of a body against the rules of io.Reader.
func TestReader(t *testing.T) {
	data := bytes.Repeat([]byte("abc"), 1000)
	b := &spool.Body{
		Reader: iotest.DataErrReader(iotest.HalfReader(bytes.NewReader(data))),
		Length: int64(len(data)),
	}
	for range 2 {
		qt.Check(t, iotest.TestReader(b.NewReader(), data), qt.IsNil)
	}
}
