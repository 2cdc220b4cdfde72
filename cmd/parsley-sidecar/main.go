// Command parsley-sidecar is the daemon that runs beside one target on the
// users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/sidecar"
)

type args struct {
	Settings string `arg:"--settings,env:PARSLEYSTACK_SETTINGS" placeholder:"FILE" help:"settings file that the platform writes"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error; debug adds a line for each request"`
}

// Description is shown by --help.
func (args) Description() string {
	return "parsley-sidecar routes callers' requests and guards the target of its instance on the users' platform. SIGTERM makes a planned stop."
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsley-sidecar:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	s, err := platform.LoadSettings(a.Settings)
	if err != nil {
		return err
	}
	cfg := zap.NewProductionConfig()
	if cfg.Level, err = zap.ParseAtomicLevel(a.LogLevel); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	cfg.DisableCaller, cfg.DisableStacktrace, cfg.Sampling = true, true, nil
	cfg.OutputPaths = []string{"stdout"}
	log, err := cfg.Build(zap.Fields(zap.String("instance", string(s.Instance))))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard output can't always be synced
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return sidecar.New(s, log).Run(ctx)
}
