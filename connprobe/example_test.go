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
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	near, err := l.Accept()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(connprobe.PeerClosed(near))
	_ = far.Close() // what the example shows
	for !connprobe.PeerClosed(near) {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(connprobe.PeerClosed(near))
	// Output:
	// false
	// true
}
