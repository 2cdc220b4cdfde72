package listen_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/listen"
)

// The first call opens two listeners. The second one fails, since its second address is
// in use, and leaves no listener open.
func Example() {
	ls, err := listen.All("127.0.0.1:0", "127.0.0.1:0")
	fmt.Println(len(ls), err)
	_, err = listen.All("127.0.0.1:0", ls[0].Addr().String())
	fmt.Println(err != nil)
	fmt.Println(listen.Close(ls))
	// Output:
	// 2 <nil>
	// true
	// <nil>
}
