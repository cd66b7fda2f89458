// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Command sassafrasbench runs experiments on the system and a demonstration, and
// contains the fakes that they use. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := dispatch(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "sassafrasbench:", err)
		os.Exit(1)
	}
}

// dispatch runs the subcommand that the first argument names.
func dispatch(ctx context.Context, args []string) error {
	usage := fmt.Errorf("usage: sassafrasbench <list|run NAME|demo>")
	if len(args) == 0 {
		return usage
	}
	switch {
	case args[0] == "list":
		list()
		return nil
	case args[0] == "run" && len(args) == 2:
		return runExperiment(ctx, args[1])
	case args[0] == "demo":
		return demo(ctx)
	}
	switch args[0] {
	case "platform":
		return runPlatform(ctx, args[1:])
	case "upstream":
		return runUpstream(ctx, args[1:])
	}
	return usage
}
