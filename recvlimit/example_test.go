package recvlimit_test

import (
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/recvlimit"
)

func ExampleReadBody() {
	pool := recvlimit.NewPool(1 << 20)
	held := pool.Open(recvlimit.Target, nil)
	defer held.Release()
	body := strings.Repeat("x", 3<<20)
	_, err := recvlimit.ReadBody(strings.NewReader(body), recvlimit.LengthUnknown, 8<<20, recvlimit.Target, held)
	fmt.Println(err)
	// Output: a message from the target does not fit the 1048576 bytes for messages that are received at the same time; check who sends so much, or raise the memory of the daemon
}
