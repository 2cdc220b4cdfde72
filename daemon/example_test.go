package daemon_test

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/daemon"
	"github.com/parsleystack/parsleystack/settings"
)

// A program that embeds a daemon loads its settings and calls Run, which
// serves until its context ends.
func Example() {
	s, err := settings.Load("../deploy/perizia/daemons/reports-1.yaml")
	if err != nil {
		fmt.Println(err)
		return
	}
	log := zap.NewNop()
	source, err := daemon.LoadTLS(&s.TLS, log)
	if err != nil {
		fmt.Println(err)
		return
	}
	d := daemon.New(s, source, log)
	fmt.Println(d.Node().Instance)
	// Output:
	// reports-1
}
