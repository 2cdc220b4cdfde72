// Command parsleyd is the daemon that runs beside one target.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/daemon"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/settings"
)

type args struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of this daemon"`
}

// Description is shown by --help.
func (args) Description() string {
	return "parsleyd routes callers' requests and controls all access to one target. SIGTERM starts a planned stop; a second one terminates the process immediately."
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsleyd:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	s, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(s)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	source, err := daemon.LoadTLS(&s.TLS, log)
	if err != nil {
		return err
	}
	if source == nil {
		logevent.Log(log, logevent.TLSDisabled)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal terminates the process immediately
	return daemon.New(s, source, log).Run(ctx)
}

func newLogger(s *settings.Daemon) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(string(s.LogLevel))
	if err != nil {
		return nil, fmt.Errorf("log_level: %w", err)
	}
	cfg.Level = level
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	return cfg.Build(zap.Fields(zap.String("instance", string(s.Instance))))
}
