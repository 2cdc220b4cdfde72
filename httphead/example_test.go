package httphead_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/httphead"
)

func Example() {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent -Length: 5\r\n\r\nwhole",
		"HTTP/1.1 000 OK\r\n\r\n",
	} {
		h, err := httphead.Response([]byte(head))
		fmt.Println(h.Size, h.Status, err)
	}
	// Output:
	// 38 200 <nil>
	// 0 0 <nil>
	// 0 0 httphead: line 2 of the head, "Content -Length": a field name is a token, without whitespace or control characters; correct the sender
	// 0 0 httphead: the response has the status "000", which is not a number from 100 to 599 of three digits; correct the sender
}
