package target

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// A request for which the target had reset the connection before any byte was written counted
// as one that may have run, so that its caller could not repeat it.
func TestRequestOnAResetConnectionWasNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *net.TCPConn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) // a failed write shows in the response that the test reads
			}
			conns <- c.(*net.TCPConn)
		}
	}()
	for name, size := range map[string]int{"small": 10, "large": maxBufferedBody + 1} {
		client := New(Config{Addr: l.Addr().String(), MaxConns: 1})
		send := func(size int, before func() error) (bool, error) {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.Header.SetMethod(http.MethodPost)
			req.Header.SetHost("h")
			req.SetRequestURI("/")
			req.SetBody(make([]byte, size))
			return client.Do(&Call{Request: &req, Response: &resp, Deadline: time.Now().Add(5 * time.Second), BeforeWrite: before})
		}
		if sent, err := send(0, nil); !sent || err != nil {
			t.Fatalf("%s: sent %t, error %v", name, sent, err)
		}
		sent, err := send(size, func() error {
			c := <-conns
			_ = c.SetLinger(0)
			err := c.Close()
			time.Sleep(50 * time.Millisecond) // until the reset has arrived
			return err
		})
		if sent || err == nil {
			t.Errorf("%s: sent %t, error %v; want a request that was not sent", name, sent, err)
		}
		client.Close()
	}
}
