// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command sassafrasnode runs beside an upstream. It takes callers' requests for
// any service and sends them to an upstream of that service, guards the
// upstream beside it, and keeps up with the other nodes.
//
// Exit codes: 0 after a planned stop, 1 if the node could not start or run, 2 if
// the command line or the settings are wrong.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sassafrasfront.example/internal/logfmt"
	"sassafrasfront.example/node"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/platform"
	"sassafrasfront.example/settings"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// version is set by the linker for releases.
var version = "development"

// usageError is a fault in the command line or the settings.
type usageError struct {
	error
}

func main() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // it must not end a process that is starting
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := rootCommand().ParseAndRun(ctx, os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if _, ok := errors.AsType[usageError](err); ok {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// root returns the command line. The settings are parsed by package settings,
// so the subcommands take their arguments as they are.
func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "sassafrasnode",
		ShortUsage: "sassafrasnode <run|check|version> [flags]",
		ShortHelp:  "the process that runs beside an upstream",
		Exec:       dispatch,
	}
}

// dispatch runs the subcommand that the first argument names.
func dispatch(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return usageError{errors.New("usage: sassafrasnode <run|check|version> [flags]; run -h lists the flags")}
	}
	switch args[0] {
	case "run":
		return run(ctx, args[1:])
	case "check":
		_, err := readSettings(args[1:])
		if err == nil {
			fmt.Println("settings are good")
		}
		return err
	case "version":
		fmt.Println(versionLine())
		return nil
	}
	return usageError{fmt.Errorf("unknown command %q; there are run, check and version", args[0])}
}

// read reads the settings.
func readSettings(args []string) (*settings.Settings, error) {
	s, err := settings.Read(flag.NewFlagSet("sassafrasnode", flag.ContinueOnError), args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return nil, usageError{err}
	}
	return s, err
}

// run runs the node until ctx ends.
func run(ctx context.Context, args []string) error {
	s, err := readSettings(args)
	if err != nil {
		return err
	}
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	if s.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	out := logfmt.NonBlocking(os.Stdout)
	defer out.Close()
	n := &node.Node{
		Settings: *s,
		Log:      logfmt.New(out, s.LogLevel).With().Str("node", s.Node).Logger(),
	}
	if s.Dialect == settings.DialectManaged {
		n.Platform = managedPlatform()
	}
	go reload(ctx, n, args)
	return n.Run(ctx)
}

// watchFileEvery is the time between two looks at the file with the settings,
// which may change without a signal.
const filePollInterval = 2 * time.Second

// reload reads the settings again at each SIGHUP and when their file changes,
// until ctx ends. Settings that can't be read change nothing. The signal stays
// caught after that: a SIGHUP must not end a process that is stopping.
func reload(ctx context.Context, n *node.Node, args []string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	lastModified := modTime(n.Settings.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-tick.C:
			if modTime(n.Settings.File).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(n.Settings.File)
		s, err := readSettings(args)
		if err != nil {
			n.Log.Error().Err(err).Msg("changed settings refused, the old ones stay")
			continue
		}
		n.Reload(*s)
	}
}

// changedAt returns when a file was last changed, or the zero time if there is
// none.
func modTime(name string) time.Time {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// gcPercent is the garbage collector's GOGC where memory is bounded: a node's
// heap is a few MB, and the process stands beside an upstream that needs the rest.
const gcPercent = 40

// memoryShare is the part of the memory at which the garbage collector works
// harder. The rest is for what it does not count.
const memoryLimitFraction = 0.7

// managed returns the users' platform.
func managedPlatform() *node.Platform {
	return &node.Platform{
		FieldNames:  platform.FieldNames(),
		NewAPI:      func(c *objectapi.JSONClient) objectapi.PollingAPI { return &platform.Store{JSONClient: c} },
		ParseEra:    platform.ParseEra,
		TableKind:   platform.ManifestKind,
		TableName:   platform.ManifestName,
		DecodeTable: platform.DecodeTable,
		ZoneKind:    platform.EvacuationKind,

		RolloutKind:     platform.RolloutKind,
		DecodeRollout:   platform.DecodeRollout,
		RolloutStatus:   platform.RolloutStatus,
		AnnounceHandler: platform.AnnounceHandler,
	}
}

// versionLine returns the version of the program and of Go.
func versionLine() string {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	return fmt.Sprintf("sassafrasnode %s %s", version, goVersion)
}
