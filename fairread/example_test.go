package fairread_test

import (
	"fmt"
	"io"
	"net"

	"github.com/parsleystack/parsleystack/fairread"
)

// A connection is wrapped where it is opened, and read like any other.
func Example() {
	local, remote := net.Pipe()
	go func() {
		_, _ = io.WriteString(remote, "more than the buffer holds")
		_ = remote.Close()
	}()
	conn := &fairread.Conn{Conn: local}
	b := make([]byte, 9)
	n, err := conn.Read(b)
	fmt.Println(string(b[:n]), err)
	// Output:
	// more than <nil>
}
