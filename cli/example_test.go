package cli_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/parsleystack/parsleystack/cli"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// Runs a command as the program does, with an in-memory log.
func Example() {
	log := logtest.New(logtest.Options{LongPoll: time.Millisecond})
	env := &cli.Env{
		Out:     os.Stdout,
		Err:     os.Stderr,
		OpenLog: func(string) platformlog.Log { return log },
		Nonce:   func() uint64 { return 1 },
		Now:     time.Now,
	}
	code := cli.Run(context.Background(), env, []string{"check", "../deploy/perizia/services"})
	fmt.Println(code == cli.ExitOK)
	// Output:
	// 3 services and 0 daemons, no faults
	// true
}
