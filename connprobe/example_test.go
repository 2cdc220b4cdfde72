package connprobe_test

import (
	"fmt"
	"net"
	"time"

	"github.com/parsleystack/parsleystack/connprobe"
)

func Example() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = l.Close() }() // the process ends
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	server, err := l.Accept()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(connprobe.PeerClosed(server))
	_ = client.Close() // detected below
	for !connprobe.PeerClosed(server) {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(connprobe.PeerClosed(server))
	// Output:
	// false
	// true
}
