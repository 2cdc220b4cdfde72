package tcprelay_test

import (
	"fmt"
	"io"
	"net"

	"github.com/parsleystack/parsleystack/standin/tcprelay"
)

// A connection through a relay reaches the server behind it.
func Example() {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() {
		if c, err := server.Accept(); err == nil {
			_, _ = io.WriteString(c, "hello") // a failure shows in the output
			_ = c.Close()
		}
	}()
	relay, err := tcprelay.Listen("127.0.0.1:0", server.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer relay.Close()
	c, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		fmt.Println(err)
		return
	}
	b, err := io.ReadAll(c)
	fmt.Println(string(b), err)
	// Output: hello <nil>
}
