// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command sassafrasnode is the load balancer's process beside an upstream. It
// accepts callers' requests for any service and forwards each to an upstream of
// that service, admits requests to the upstream beside it, and exchanges state
// with the other nodes.
//
// Exit codes: 0 after a planned stop, 1 if the node could not start or run, 2 if
// the command line or the settings are invalid.
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

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// version is set by the linker in release builds.
var version = "development"

// usageError is an error in the command line or the settings.
type usageError struct {
	error
}

func main() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // SIGHUP must not terminate the process during startup
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

// rootCommand returns the command line. Package settings parses the flags of the
// subcommands, so they receive their arguments unparsed.
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
	return usageError{fmt.Errorf("unknown command %q; the commands are run, check and version", args[0])}
}

// readSettings reads the settings from the arguments, the environment and the settings file.
func readSettings(args []string) (*settings.Settings, error) {
	s, err := settings.Read(flag.NewFlagSet("sassafrasnode", flag.ContinueOnError), args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return nil, usageError{err}
	}
	return s, err
}

// run runs the node until ctx is done.
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

// filePollInterval is the interval at which the settings file is checked for changes that
// no signal announces.
const filePollInterval = 2 * time.Second

// reload rereads the settings at each SIGHUP and whenever their file changes, until
// ctx is done. Invalid settings are ignored. It does not stop catching SIGHUP when it
// returns: the signal must not terminate a process that is stopping.
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
			n.Log.Error().Err(err).Msg("changed settings refused; keeping the current ones")
			continue
		}
		n.Reload(*s)
	}
}

// modTime returns the modification time of a file, or the zero time if there is
// none.
func modTime(name string) time.Time {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// gcPercent is the GOGC value used if memory is limited: a node's heap is a few MB, and
// the upstream on the same instance needs the remaining memory.
const gcPercent = 40

// memoryLimitFraction is the fraction of the permitted memory that is set as the garbage
// collector's soft limit. The rest is for memory that the limit does not count.
const memoryLimitFraction = 0.7

// managedPlatform returns the adapter for the users' platform.
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
