// Command parsley publishes the configuration of services and operates a
// deployment. Package cli holds the commands.
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

// longPoll is the time that a read waits at the end of a stream; commands want
// to know what there is, not what comes.
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
