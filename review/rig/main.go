// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command rig runs one case of the review against the nodes that the deploy file builds, with stand-ins
// for the store, the backends and the clients.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(o *options) (broken bool, err error){
	"late":   lateHeartbeat,
	"upload": lateUpload,
	"freeze": frozenAnswers,
}

// options are the options of a case.
type options struct {
	root, dir string
	trouble   bool
	log       *record
}

func main() { os.Exit(execute()) }

// execute runs the case and returns the exit code.
func execute() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	dir := flag.String("dir", "", "temporary folder")
	file := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	log, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	endOnSignal()
	broken, err := run(&options{
		root:    *root,
		dir:     *dir,
		trouble: *trouble,
		log:     log,
	})
	switch {
	case err != nil:
		log.result("the case could not run: %v", err)
		return exitFailed
	case broken:
		log.result("the rule was broken")
		return exitBroken
	}
	log.result("the rule held")
	return exitHeld
}

// endOnSignal makes a signal to stop end the nodes as well.
func endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		killAll()
		os.Exit(exitFailed)
	}()
}
