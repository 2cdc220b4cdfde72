// Command parsley publishes the configuration of services and operates a
// deployment. Package cli implements the commands.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/cli"
	"github.com/parsleystack/parsleystack/platformlog"
)

// longPoll is the time that a read waits at the end of a stream. It is short
// because commands read existing records only and do not wait for new ones.
const longPoll = 10 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &cli.Env{
		Out:     os.Stdout,
		Err:     os.Stderr,
		OpenLog: openLog,
		Nonce:   rand.Uint64,
		Now:     time.Now,
	}
	code := cli.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}

func openLog(addr string) platformlog.Log {
	return platformlog.NewClient(platformlog.ClientConfig{Addr: addr, LongPoll: longPoll})
}
