// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command sassafrassoak runs a small system of real processes on loopback, injects
// faults that are drawn from a seed, and checks what callers and upstreams observed.
//
//	sassafrassoak run -seed 7 -node bin/sassafrasnode
//	sassafrassoak hunt -seeds 50 -node bin/sassafrasnode
//	sassafrassoak hunt -seeds 50 -restore -node bin/sassafrasnode
//	sassafrassoak hunt -seeds 50 -limits -node bin/sassafrasnode
//	sassafrassoak hunt -seeds 50 -stops -node bin/sassafrasnode
//	sassafrassoak run -seed 3 -stops -nodes 90 -node bin/sassafrasnode
//	sassafrassoak hunt -seeds 10 -routes 700 -node bin/sassafrasnode
//
// The store and the upstreams are fakes in this process. The nodes are separate
// processes, which reach each other through proxies in this process. Only processes
// started by the command are ended. Exit codes: 0 if every check passed, 1 if one
// failed or a run could not start, 2 if the command line is invalid.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// options are the values of the flags.
type options struct {
	nodeProgram string
	seed        uint64
	seeds       int
	minutes     float64
	parallel    int
	duration    time.Duration
	logDir      string
	safetyOnly  bool
	keys        bool
	restore     bool
	limits      bool
	stops       bool
	silences    bool
	departures  bool
	routes      int
	nodes       int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout))
}

// execute runs the command line given by args and returns the exit code.
func execute(ctx context.Context, args []string, out io.Writer) int {
	if len(args) == 0 || args[0] != "run" && args[0] != "hunt" {
		fmt.Fprintln(out, "usage: sassafrassoak <run|hunt> [flags]; -h lists them")
		return 2
	}
	var o options
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&o.nodeProgram, "node", "bin/sassafrasnode", "path of the sassafrasnode program")
	fs.Uint64Var(&o.seed, "seed", 1, "first seed")
	fs.IntVar(&o.seeds, "seeds", 50, "number of seeds of a hunt")
	fs.Float64Var(&o.minutes, "minutes", 0, "maximum duration of a hunt; 0 for no limit")
	fs.IntVar(&o.parallel, "parallel", 3, "seeds run at once in a hunt")
	fs.DurationVar(&o.duration, "duration", 8*time.Second, "duration of the load")
	fs.StringVar(&o.logDir, "logs", "", "directory for the nodes' logs of failed seeds; empty for none")
	fs.BoolVar(&o.safetyOnly, "safety", false, "skip the checks that have time bounds, for a busy machine")
	fs.BoolVar(&o.keys, "keys", false, "continuously replace the keys of an organisation, and check that revoked keys are refused")
	fs.BoolVar(&o.restore, "restore", false, "also restore the store from an older copy, twice in a row")
	fs.BoolVar(&o.limits, "limits", false, "also have upstreams advertise limits, and one state in its responses that it is leaving")
	fs.BoolVar(&o.stops, "stops", false, "also stop nodes in series, under bursts of large bodies over slow links that stall and lose packets")
	fs.BoolVar(&o.silences, "silences", false, "also have open connections between nodes and to the store fall silent for good, while new ones work, with changes of the configuration right behind")
	fs.BoolVar(&o.departures, "departures", false, "also have upstreams drain or leave for good, with heartbeats of before that arrive late, while their nodes are killed, stopped and paused, beside uploads whose bodies begin late")
	fs.IntVar(&o.routes, "routes", 0, "number of routes that are in the table without being used, and of those that each change adds")
	fs.IntVar(&o.nodes, "nodes", 2*nodesPerService, "number of nodes; the rate of each node's callers is scaled to keep the total load the same")
	if err := fs.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	if o.nodes < 2*nodesPerService {
		fmt.Fprintf(out, "-nodes must be at least %d\n", 2*nodesPerService)
		return 2
	}
	if args[0] == "run" {
		o.seeds, o.parallel = 1, 1
	}
	return o.runSeeds(ctx, out)
}

// runSeeds runs the seeds, several at once, and returns the exit code.
func (o *options) runSeeds(ctx context.Context, out io.Writer) int {
	if o.minutes > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(o.minutes*float64(time.Minute)))
		defer cancel()
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	var passed, failed int
	var all sync.WaitGroup
	for range max(1, o.parallel) {
		all.Go(func() {
			for seed := range seeds {
				report, ok := runSeed(o, seed)
				mu.Lock()
				fmt.Fprint(out, report)
				if ok {
					passed++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range o.seeds {
		if ctx.Err() != nil {
			break
		}
		seeds <- o.seed + uint64(i)
	}
	close(seeds)
	all.Wait()
	fmt.Fprintf(out, "%d seeds passed, %d seeds failed\n", passed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
