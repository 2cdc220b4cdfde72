// Command parsley-sidecarsoak runs a soak of parsley-sidecar as real processes; see
// package sidecarsoak. scripts/sidecar-faults.sh starts it with the daemons and targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/standin/sidecarsoak"
)

type args struct {
	Dir          string  `arg:"--dir,required" help:"empty directory of the run"`
	Network      string  `arg:"--network" default:"127.90.1" help:"first three bytes of the loopback addresses"`
	Seed         uint64  `arg:"--seed" default:"1"`
	PassKnownRed bool    `arg:"--pass-known-red" help:"count the violations that KNOWN-RED.txt lists instead of failing"`
	Minutes      float64 `arg:"--minutes" default:"1" help:"length of the faults"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	violations, err := sidecarsoak.Run(ctx, sidecarsoak.Options{
		Dir: a.Dir, Network: a.Network, Seed: a.Seed, Length: time.Duration(a.Minutes * float64(time.Minute)), Log: os.Stdout, PassKnownRed: a.PassKnownRed,
	})
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "parsley-sidecarsoak:", err)
		os.Exit(2)
	case violations > 0:
		os.Exit(1)
	}
}
