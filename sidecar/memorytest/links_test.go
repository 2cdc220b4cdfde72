package memorytest

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// linkCrowd lets a crowd of daemons send to the second one. It must still serve the target
// beside it.
func linkCrowd(t *testing.T, size int, send func(i int, conn net.Conn)) {
	f := start(t, memoryMB, maxBodyBytes)
	crowd(t, f.nodes[1].addr(firstLinkPort), size, func(i int, conn net.Conn) {
		hello := wire.NewHello("bookings", nodeOf(i), "z")
		hello.Class = uint8(transport.ClassBulk)
		b, err := wire.Append(nil, wire.KindHello, 0, &hello, wire.MaxHello)
		if err != nil {
			t.Error(err)
		}
		if write(conn, b, 1, 0) {
			send(i, conn)
		}
	})
	f.awaitServed(f.nodes[1], remotePath)
	f.awaitServed(f.nodes[0], remotePath)
}

func frameOf(t *testing.T, id uint64, path string, body int) []byte {
	requestID := []byte(newID())
	req := &wire.Request{
		Service: "payments", Timeout: 10 * time.Second, Objective: 5 * time.Second, Method: []byte("POST"), URI: []byte(path), RequestID: requestID,
		Class: []byte("r1"), Caller: "bookings", Body: make([]byte, body),
		Headers: []wire.Header{{Name: []byte("Host"), Value: []byte(host)}, {Name: []byte("Request-Id"), Value: requestID}},
	}
	b, err := wire.Append(nil, wire.KindRequest, id, req, 2*maxBodyBytes)
	if err != nil {
		t.Error(err)
	}
	return b
}

// Frames of legal size, most without their last byte.
func TestLargeFramesOnLinks(t *testing.T) {
	frame := frameOf(t, 1, remotePath, maxBodyBytes-4096)
	linkCrowd(t, bodyCrowd, func(i int, conn net.Conn) { write(conn, frame[:len(frame)-left(i, 1)], 1, 0) })
}

// Frames of legal size in pieces, several on one connection.
func TestFramesInPiecesOnLinks(t *testing.T) {
	const frames = 4
	linkCrowd(t, bodyCrowd, func(i int, conn net.Conn) {
		for id := range uint64(frames) {
			frame := frameOf(t, id+1, remotePath, maxBodyBytes/frames)
			if id == frames-1 {
				frame = frame[:len(frame)-left(i, 1)]
			}
			for len(frame) > 0 {
				n := min(len(frame), pieceBytes)
				if !write(conn, frame[:n], 1, piecePause) {
					return
				}
				frame = frame[n:]
			}
		}
	})
}

// Daemons that request large responses, and read none of them.
func TestDaemonsThatNeverRead(t *testing.T) {
	const daemons, requests = 32, 100
	linkCrowd(t, daemons, func(_ int, conn net.Conn) {
		for id := range uint64(requests) {
			if !write(conn, frameOf(t, id+1, answersPath+"262144", 0), 1, 20*time.Millisecond) {
				return
			}
		}
	})
}

func nodeOf(i int) ident.Node {
	return ident.Node{Instance: ident.Instance(fmt.Sprintf("crowd-%d", i)), Incarnation: 1}
}
