package memorytest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// bodyCrowd is the number of callers whose bodies of the largest legal size take four times
// the memory of the daemon together.
const bodyCrowd = 4 * (memoryMB << 20) / maxBodyBytes

// wholeOneOf is how many members of a crowd there are for one that completes its message.
const wholeOneOf = 6

// end is what member i leaves out of the end of a message.
func left(i, bytes int) int {
	if i%wholeOneOf == 0 {
		return 0
	}
	return bytes
}

func headOf(path, lines string) []byte {
	return []byte(platformtest.Head(host, http.MethodPost, path, newID(), platformtest.DeadlineHeader+": 10000\r\n"+lines))
}

// callerCrowd lets a crowd of callers send to the first daemon. An ordinary request must be
// answered while its connections are open.
func callerCrowd(t *testing.T, size int, send member) {
	f := start(t, memoryMB, maxBodyBytes)
	crowd(t, f.nodes[0].addr(callerPort), size, send)
	f.awaitServed(f.nodes[0], localPath)
	f.awaitServed(f.nodes[0], remotePath)
}

// Large bodies of legal size, most without their last byte, must not exhaust the memory.
func TestLargeBodies(t *testing.T) {
	for _, path := range []string{localPath, remotePath} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			callerCrowd(t, bodyCrowd, func(i int, conn net.Conn) {
				if write(conn, headOf(path, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), 1, 0) {
					writeBody(conn, maxBodyBytes-left(i, 1), len(filler), 0)
				}
			})
		})
	}
}

// The same in pieces.
func TestLargeBodiesInPieces(t *testing.T) {
	callerCrowd(t, bodyCrowd, func(i int, conn net.Conn) {
		if write(conn, headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), 1, 0) {
			writeBody(conn, maxBodyBytes-left(i, 1), pieceBytes, piecePause)
		}
	})
}

const (
	chunkedLine = "Transfer-Encoding: chunked\r\n"
	lastChunk   = "0\r\n\r\n"
)

// Chunked bodies of legal size, most without the last byte of their last chunk.
func TestChunkedBodiesInLargeChunks(t *testing.T) {
	chunk := append(append(fmt.Appendf(nil, "%x\r\n", len(filler)), filler...), "\r\n"...)
	callerCrowd(t, bodyCrowd, func(i int, conn net.Conn) {
		if write(conn, headOf(localPath, chunkedLine), 1, 0) && write(conn, chunk, maxBodyBytes/len(filler)-1, 0) {
			last := append(bytes.Clone(chunk), lastChunk...)
			write(conn, last[:len(last)-left(i, len(lastChunk)+3)], 1, 0)
		}
	})
}

// Bodies in chunks of one byte, which together take twice the memory of the daemon.
func TestChunkedBodiesInSmallChunks(t *testing.T) {
	const callers, size = 96, 2 * (memoryMB << 20) / 96
	block := bytes.Repeat([]byte("1\r\nx\r\n"), 4096)
	callerCrowd(t, callers, func(i int, conn net.Conn) {
		if write(conn, headOf(localPath, chunkedLine), 1, 0) && write(conn, block, size/4096, 0) {
			write(conn, []byte(lastChunk)[:len(lastChunk)-left(i, len(lastChunk))], 1, 0)
		}
	})
}

// Bodies far over the limit, announced, sent in chunks, or in one chunk.
func TestBodiesFarOverTheLimit(t *testing.T) {
	const callers, size = 24, 64 << 20
	for name, lines := range map[string]string{
		"announced": fmt.Sprintf("Content-Length: %d\r\n", size), "chunked": chunkedLine,
		"beyond any machine": "Content-Length: 99999999999999\r\n", "one chunk": chunkedLine,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			step := append(fmt.Appendf(nil, "%x\r\n", len(filler)), append(bytes.Clone(filler), "\r\n"...)...)
			callerCrowd(t, callers, func(_ int, conn net.Conn) {
				switch {
				case !write(conn, headOf(localPath, lines), 1, 0):
				case name == "chunked":
					write(conn, step, size/len(filler), 0)
				case name == "one chunk" && !write(conn, []byte("7ffffff0\r\n"), 1, 0):
				default:
					writeBody(conn, size-1, len(filler), 0)
				}
			})
		})
	}
}

// headCrowd is the number of connections that are open at a time: most of the descriptors
// of the daemon.
const headCrowd = maxFiles * 5 / 6

// Heads that never end, of almost the largest legal size.
func TestHeadsThatNeverEnd(t *testing.T) {
	head := []byte("POST " + localPath + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Repeat("Field: "+strings.Repeat("v", 64)+"\r\n", 200))
	callerCrowd(t, headCrowd, func(_ int, conn net.Conn) { write(conn, head, 1, 0) })
}

// Requests with thousands of small header fields, each of which takes far more memory than on
// the connection, while they wait for the target.
func TestManyFields(t *testing.T) {
	const callers = 300
	lines := strings.Repeat("A:\r\n", 7000) + "Content-Length: 0\r\n"
	for _, path := range []string{localPath, remotePath} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			callerCrowd(t, callers, func(_ int, conn net.Conn) { write(conn, headOf(path+slowPath, lines), 1, 0) })
		})
	}
}

// Connections that send nothing must leave room for requests.
func TestConnectionsThatSendNothing(t *testing.T) {
	callerCrowd(t, headCrowd, func(int, net.Conn) {})
}

// Callers that send requests for large responses, and read none of them.
func TestCallersThatNeverRead(t *testing.T) {
	const callers, requests = 96, 40
	callerCrowd(t, callers, func(_ int, conn net.Conn) {
		for range requests {
			if !write(conn, headOf(answersPath+"4194304", "Content-Length: 0\r\n"), 1, 100*time.Millisecond) {
				return
			}
		}
	})
}

// Callers that send bodies of legal size one after the other, and read no response.
func TestCallersThatNeverReadSendBodies(t *testing.T) {
	const callers, size, requests = 400, 256 << 10, 8
	callerCrowd(t, callers, func(_ int, conn net.Conn) {
		for range requests {
			if !write(conn, headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", size)), 1, 0) || !writeBody(conn, size, size, 0) {
				return
			}
		}
	})
}

// Requests to the address for heartbeats, of the largest size and without their last byte.
func TestHeartbeatsThatNeverEnd(t *testing.T) {
	const senders, size = 200, 1 << 20
	f := start(t, memoryMB, maxBodyBytes)
	crowd(t, f.nodes[0].addr(controlPort), senders, func(_ int, conn net.Conn) {
		if write(conn, []byte(platformtest.Head(host, http.MethodPut, platformtest.InstancesPath+"t", newID(), fmt.Sprintf("Content-Length: %d\r\n", size))), 1, 0) {
			writeBody(conn, size-1, size, 0)
		}
	})
	f.awaitServed(f.nodes[0], localPath)
}
