// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command rig-2 plays a case of the review: it starts nodes of the project beside stand-ins of the store, of
// backends and of clients, and checks a rule by what these have seen.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// stableWindow is how long nothing must have happened to a machine that is in touch.
const stableWindow = 3 * time.Second

// Exit codes.
const (
	exitBroken    = 1
	exitCannotRun = 2
)

// A scenario plays a case, with or without its disruption, and returns the violations of the rule.
type scenario func(dir string, trouble bool, r *record) (broken []string, err error)

var scenarios = map[string]scenario{
	"outage": leaveDuringOutage,
	"reborn": leaveOfReborn,
	"clock":  drainOfReborn,
	"cut":    leaveBesideCut,
	"reuse":  addressOfOtherService,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 SCENARIO RECORD")
		os.Exit(exitCannotRun)
	}
	broken, err := play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(exitCannotRun)
	case len(broken) > 0:
		for _, text := range broken[:min(5, len(broken))] {
			fmt.Println(text)
		}
		fmt.Println("broken:", len(broken))
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}

// endOnSignal ends all processes and the rig when it is told to stop.
func endOnSignal(dir string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	killAll()
	_ = os.RemoveAll(dir)
	os.Exit(exitCannotRun)
}

// play plays a scenario with a record of the given name, in a temporary directory.
func play(s scenario, name string, trouble bool) (broken []string, err error) {
	r, err := newRecord(name)
	if err != nil {
		return nil, err
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	r.printf("trouble: %v", trouble)
	go endOnSignal(dir)
	broken, err = s(dir, trouble, r)
	for _, text := range broken {
		r.printf("broken: %s", text)
	}
	if err != nil {
		r.printf("could not run: %v", err)
	}
	return broken, err
}
