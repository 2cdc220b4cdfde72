package sidecarsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// leaverPause is the time between two callers of a daemon that leave.
	leaverPause = 100 * time.Millisecond
	// leaverDeadline is the time to the deadline of their requests.
	leaverDeadline = 1200 * time.Millisecond
	// furtherBody is the size in bytes of the body of a further request on the connection. It
	// is larger than the first read buffer of a daemon, and fits into the receive window, which
	// is 8 KiB: a close behind more bytes does not reach a daemon that does not read them.
	furtherBody = 6 << 10
	// incompleteBody is the size in bytes of a body of which only a part is sent.
	incompleteBody = 128 << 10
)

// leaving is how a caller leaves.
type leaving int

const (
	leavesLater     leaving = iota // after a random part of its deadline
	leavesAtOnce                   // its request and its close arrive together
	leavesPipelined                // with two requests on its connection, after a random part of the deadline
	leavesEarly                    // before its request is complete
	leavingKinds
)

// String describes how the caller leaves.
func (k leaving) String() string {
	return [leavingKinds]string{"later", "at once", "with a further request", "before the end of its request"}[k]
}

// leave sends requests through one daemon until ctx ends, and closes the connection before
// the response.
func (c *callers) leave(ctx context.Context, daemon int, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for kind := leaving(0); ctx.Err() == nil; kind = (kind + 1) % leavingKinds {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		all.Go(func() { c.leaveOnce(daemon, kind, own) })
		pause(ctx, leaverPause)
	}
}

// leaveOnce sends the requests of one caller that leaves.
func (c *callers) leaveOnce(daemon int, kind leaving, random *rand.Rand) {
	addr := c.d.instances[daemon].addr(callerPort)
	after := time.Duration(random.Int64N(int64(leaverDeadline)))
	sent := time.Now()
	var ids []string
	request := func(body, sentBody int) string {
		head := fmt.Sprintf("%s: %d\r\nContent-Length: %d\r\n", platformtest.DeadlineHeader, leaverDeadline.Milliseconds(), body)
		ids = append(ids, fmt.Sprintf("req-%d", c.lastID.Add(1)))
		path, method := "/book/a", http.MethodPost
		if random.IntN(2) == 0 {
			path, head = claimPrefix+"a", head+fmt.Sprintf("%s: %d\r\n", platformtest.KeyHeader, random.IntN(1<<16))
		}
		return platformtest.Head(host, method, path, ids[len(ids)-1], head) + strings.Repeat("b", sentBody)
	}
	// A daemon that is restarted accepts no connection. Such requests do not arrive.
	switch kind {
	case leavesAtOnce:
		_ = platformtest.LeaveAtOnce(addr, request(0, 0))
	case leavesPipelined:
		_ = sendAndClose(addr, request(0, 0)+request(furtherBody, furtherBody), after)
	case leavesEarly:
		_ = sendAndClose(addr, request(incompleteBody, random.IntN(incompleteBody)), after)
	default:
		_ = sendAndClose(addr, request(0, 0), after)
	}
	c.judge.observeLeft(daemon, ids, kind, sent)
}

// sendAndClose sends bytes on a new connection and closes it after a time.
func sendAndClose(addr, requests string, after time.Duration) error {
	conn, err := net.DialTimeout("tcp", addr, leaverDeadline)
	if err != nil {
		return err
	}
	end := time.Now().Add(after)
	_ = conn.SetWriteDeadline(end) // a daemon that is stopped does not read all of it
	_, err = conn.Write([]byte(requests))
	time.Sleep(time.Until(end))
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	return err
}
