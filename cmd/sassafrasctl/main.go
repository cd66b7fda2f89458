// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command sassafrasctl lets operators manage the resources in the platform's
// object API, and shows what nodes and their logs report. Resources can also be
// managed through the API directly.
//
// Exit codes: 0 for success, 1 if the platform or a node could not be reached or
// returned an error, 2 if the command line is invalid, 3 if a resource is invalid
// or was refused, 4 if a resource was changed concurrently.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafrasfront.example/objectapi"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e exitError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the command line given by args and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	err := t.rootCommand(errOut).ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(errOut, "sassafrasctl:", err)
	if e, ok := errors.AsType[exitError](err); ok {
		return e.code
	}
	return exitFailed
}

// tool is the command-line tool with the values of its flags.
type tool struct {
	out       io.Writer
	url       string
	namespace string
	output    string
	file      string
	node      string

	// Flags of busiest.
	measure  string
	interval time.Duration
	maxRows  int
}

// nodeCommands are the commands that query a node.
var nodeCommands = map[string]bool{
	"suspects":      true,
	"release":       true,
	"zones":         true,
	"versions":      true,
	"rollouts":      true,
	"limits":        true,
	"organisations": true,
	"busiest":       true,
}

// rootCommand returns the command line.
func (t *tool) rootCommand(errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("sassafrasctl", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&t.url, "platformURL", "http://127.0.0.1:8001", "root of the platform's object API")
	fs.StringVar(&t.namespace, "namespace", "sassafrasfront", "namespace of the system's objects")
	fs.StringVar(&t.output, "o", "table", "output: table or json")
	newCommand := func(name, usage, help string, exec func(context.Context, []string) error) *ffcli.Command {
		f := flag.NewFlagSet(name, flag.ContinueOnError)
		f.SetOutput(errOut)
		if name == "validate" || name == "apply" || name == "diff" {
			f.StringVar(&t.file, "f", "", "file with a Service in YAML or JSON")
		}
		if nodeCommands[name] {
			f.StringVar(&t.node, "node", "", "operator address of a node, such as 10.1.0.38:8141")
		}
		if name == "busiest" {
			f.StringVar(&t.measure, "by", "bytes", "measure by which nodes are compared: "+strings.Join(measureNames(), ", "))
			f.DurationVar(&t.interval, "over", 5*time.Second, "time between the two readings of each node")
			f.IntVar(&t.maxRows, "show", defaultShownNodes, "number of nodes to show")
		}
		return &ffcli.Command{
			Name:       name,
			ShortUsage: "sassafrasctl [flags] " + usage,
			ShortHelp:  help,
			FlagSet:    f,
			Exec:       exec,
		}
	}
	return &ffcli.Command{
		Name:       "sassafrasctl",
		ShortUsage: "sassafrasctl [flags] <command>",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("SASSAFRAS")},
		Subcommands: []*ffcli.Command{
			newCommand("validate", "validate -f FILE", "validate a file as the system does", t.validate),
			newCommand("apply", "apply -f FILE", "write a Service, unless it has changed since the file was read", t.apply),
			newCommand("diff", "diff -f FILE", "show what apply would change", t.diff),
			newCommand("get", "get [NAME]", "show services", t.get),
			newCommand("status", "status [NAME]", "show the status of services", t.status),
			newCommand("watch", "watch", "show statuses whenever they change", t.watch),
			newCommand("delete", "delete NAME", "delete a service", t.remove),
			newCommand("explain", "explain REQUEST-ID FILE...", "show a request's lines in the logs of nodes", t.explain),
			newCommand("failures", "failures SERVICE FROM TO FILE...", "count a service's failed requests in the logs of nodes", t.failures),
			newCommand("suspects", "suspects -node ADDRESS", "show the requests suspected of crashing upstreams", t.suspects),
			newCommand("release", "release -node ADDRESS PRINT", "clear a suspected request, so that all nodes run it again", t.release),
			newCommand("versions", "versions -node ADDRESS", "show the version of the table of routes on each node", t.versions),
			newCommand("zones", "zones -node ADDRESS", "show the evacuated availability zones", t.zones),
			newCommand("rollouts", "rollouts -node ADDRESS", "show the progress of roll-outs", t.rollouts),
			newCommand("busiest", "busiest -node ADDRESS [-by MEASURE] [-over TIME] [-show N]", "show the nodes with the highest resource usage, and its causes", t.busiest),
			newCommand("limits", "limits -node ADDRESS", "show the upstreams that advertise a limit or are leaving", t.limits),
			newCommand("organisations", "organisations -node ADDRESS", "show the organisations' rate limits and their usage", t.organisations),
		},
		Exec: func(context.Context, []string) error {
			return exitError{exitUsage, errors.New("usage: sassafrasctl [flags] <validate|apply|diff|get|status|watch|delete|explain|failures|suspects|release|versions|zones|rollouts|limits|organisations|busiest>")}
		},
	}
}

// api returns a client of the platform's object API.
func (t *tool) api() *objectapi.Client {
	return &objectapi.Client{
		JSONClient: objectapi.JSONClient{
			URL: t.url,
		},
		Namespace: t.namespace,
	}
}
