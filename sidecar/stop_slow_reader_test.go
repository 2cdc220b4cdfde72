package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A daemon stops while callers read large responses slowly. It must not close their connections
// while there is grace time left: they lost what the kernel had not yet taken.
func TestStopWaitsForResponsesThatAreRead(t *testing.T) {
	t.Parallel()
	const (
		size, callers = 10 << 20, 2
		step          = 64 << 10
		readTime      = 4 * time.Second // of a response, within the grace time
		readyTime     = 20 * time.Second
	)
	// The memory is far above what the process of all tests takes: daemons collect garbage before
	// large buffers if the heap exceeds a share of it.
	d, target := deployScriptedWith(t, func(n *testNode) { n.settings.MemoryBytes = 4 << 30 })
	entry := d.nodes[0]
	target.set(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", platformtest.StampHeader, size, strings.Repeat("a", size)))
	var begun, done sync.WaitGroup
	begun.Add(callers)
	for range callers {
		done.Go(func() {
			var body io.Reader
			err := errors.New("not tried")
			for end := time.Now().Add(readyTime); err != nil && time.Now().Before(end); { // a busy machine may exceed the deadline
				body, err = openResponse(entry.settings.CallerAddr)
			}
			begun.Done()
			if err != nil {
				t.Error(err)
				return
			}
			read := int64(0)
			for ; read < size && err == nil; time.Sleep(readTime / (size / step)) {
				var n int64
				n, err = io.CopyN(io.Discard, body, step)
				read += n
			}
			if read < size {
				t.Errorf("a response ends after %d of %d bytes: %v", read, size, err)
			}
		})
	}
	begun.Wait()
	entry.stop()
	done.Wait()
	<-entry.done
	entry.start(t)
}

// openResponse sends a request on a connection that takes little at a time, and returns the body
// of the response, of which nothing is read.
func openResponse(addr string) (io.Reader, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte(head(http.MethodPost, "/book/a", "Content-Length: 0\r\n"))); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp.Body, nil
}
