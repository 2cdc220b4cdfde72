package memorytest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request of the largest legal size must be served when nothing else goes on, by the
// target beside the daemon and through a link.
func TestLargestBodyAlone(t *testing.T) {
	const largest = 64 << 20
	for _, memory := range []int{184, 284} {
		t.Run(fmt.Sprint(memory), func(t *testing.T) {
			f := start(t, memory, largest)
			for _, path := range []string{localPath, remotePath} {
				for _, size := range []int{20_000_000, largest} {
					for _, lines := range []string{fmt.Sprintf("Content-Length: %d\r\n", size), chunkedLine} {
						name := strings.TrimSpace(path + " " + lines)
						status, received, err := upload(f.nodes[0], path, lines, size)
						if err != nil || status != http.StatusOK || received != fmt.Sprint(size) {
							t.Errorf("%s, %d bytes: status %d, the target received %q, error %v", name, size, status, received, err)
						}
					}
				}
			}
		})
	}
}

// upload sends one body and returns the status and what the target says it received.
func upload(n *node, path, lines string, size int) (status int, received string, err error) {
	conn, err := net.DialTimeout("tcp", n.addr(callerPort), dialTimeout)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }() // the response was read
	if err := conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, "", err
	}
	go func() {
		write(conn, headOf(path, lines), 1, 0)
		if lines == chunkedLine {
			write(conn, fmt.Appendf(nil, "%x\r\n", size), 1, 0)
		}
		writeBody(conn, size, len(filler), 0)
		if lines == chunkedLine {
			write(conn, []byte("\r\n"+lastChunk), 1, 0)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, resp.Header.Get("Body-Bytes"), resp.Body.Close()
}
