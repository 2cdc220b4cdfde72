// Command parsley-sidecar is the daemon that runs beside one target on the
// users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/logsink"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/sidecar"
)

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// logFlushTimeout is the time limit for writing the last log lines when the
// process exits.
const logFlushTimeout = 200 * time.Millisecond

type args struct {
	Settings   string  `arg:"--settings,env:PARSLEYSTACK_SETTINGS" placeholder:"FILE" help:"settings file that the platform writes"`
	Check      bool    `arg:"--check" help:"check the settings file and exit"`
	Announce   string  `arg:"--announce" placeholder:"IP:PORT" help:"address at which other daemons reach this one, if not the first port of the settings"`
	HedgeShare float64 `arg:"--hedge-share,env:PARSLEYSTACK_HEDGE_SHARE" default:"0" placeholder:"SHARE" help:"largest share of requests, from 0 to 1, that are sent to a second target when the first one is slow; 0 turns this off"`
	LogLevel   string  `arg:"--log-level" default:"info" help:"debug, info, warn or error; debug adds a line for each request"`
}

// Description is shown by --help.
func (args) Description() string {
	return "parsley-sidecar routes callers' requests and controls all access to the target of its instance on the users' platform. SIGTERM starts a planned stop."
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
	s.AnnounceAddr = a.Announce
	if s.HedgeShare, err = platform.CheckHedgeShare(a.HedgeShare); err != nil {
		return fmt.Errorf("--hedge-share: %w", err)
	}
	level, err := zapcore.ParseLevel(a.LogLevel)
	if err != nil {
		return fmt.Errorf("--log-level: %w; use debug, info, warn or error", err)
	}
	if a.Check {
		fmt.Printf("%s: instance %s, service %s, callers at %s, operators and metrics at %s\n", a.Settings, s.Instance, s.Service, s.CallerAddr, s.MetricsAddr)
		return nil
	}
	core := logsink.New(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), os.Stdout, level)
	defer core.Close(logFlushTimeout)
	log := zap.New(core, zap.Fields(zap.String("instance", string(s.Instance))))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sidecar.LimitGarbage()
	sidecar.LimitHeap(s.MemoryBytes)
	d := sidecar.New(s, log, core.TakeDropped)
	go reload(ctx, a.Settings, d, log)
	return d.Run(ctx)
}

// reload applies the settings file again on SIGHUP and when it changes.
func reload(ctx context.Context, path string, d *sidecar.Daemon, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-poll.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		s, err := platform.LoadSettings(path)
		if err != nil {
			logevent.Log(log, logevent.SettingsRejected, zap.Error(err))
			continue
		}
		d.Reload(s)
	}
}

// modified returns the modification time of the file, or zero if it can't be
// read. Since a change to zero also triggers a reload, LoadSettings reports a
// missing file once.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
