package memorytest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Requests with long ids and paths while nothing reads the log must not fill the memory with
// lines that wait to be written.
func TestLongRequestsWhileTheLogIsStuck(t *testing.T) {
	const callers, requests = 64, 4000
	f := startWith(t, conditions{cores: oneCore, memory: memoryMB, stuckLog: true}, maxBodyBytes)
	long := bytes.Repeat([]byte{0xff}, 6<<10) // takes three times its size in a line
	crowd(t, f.nodes[0].addr(callerPort), callers, func(i int, conn net.Conn) {
		path := localPath
		if i%2 == 0 {
			path = "/nowhere/"
		}
		request := []byte(platformtest.Head(host, http.MethodPost, path, newID()+string(long), fmt.Sprintf("%s: 1000\r\nContent-Length: 0\r\n", platformtest.DeadlineHeader)))
		go func() { // the responses do not matter
			b := make([]byte, 64<<10)
			for {
				if _, err := conn.Read(b); err != nil {
					return
				}
			}
		}()
		write(conn, request, requests, 0)
	})
	f.awaitServed(f.nodes[0], localPath)
	f.awaitServed(f.nodes[0], remotePath)
}
