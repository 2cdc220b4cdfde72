package recvlimit_test

import (
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/recvlimit"
)

func ExampleReadBody() {
	budget := recvlimit.NewBudget(recvlimit.Target, 1<<20)
	reserved := recvlimit.NewReservation(budget)
	defer reserved.Release()
	body := strings.Repeat("x", 3<<20)
	_, err := recvlimit.ReadBody(strings.NewReader(body), recvlimit.LengthUnknown, 8<<20, recvlimit.Target, &reserved)
	fmt.Println(err)
	// Output: the messages received from the target at the same time exceed 1048576 bytes; check why it sends so much, or raise the memory of the daemon
}
