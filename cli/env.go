package cli

import (
	"io"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// Env holds the dependencies of the commands. All fields are required.
type Env struct {
	Out io.Writer
	Err io.Writer
	// OpenLog returns a client of the log service at an address.
	OpenLog func(addr string) platformlog.Log
	// Nonce returns a random number.
	Nonce func() uint64
	// Now returns the wall-clock time.
	Now func() time.Time
}
