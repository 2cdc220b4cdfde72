package memorytest

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// endlessPath is the end of the paths of requests that targets answer without end.
	endlessPath = "endless"
	// endlessCallers send these requests, as soon as the one before has ended.
	endlessCallers = 60
	// ordinaryObjective is the time in which ordinary requests beside them must be answered.
	ordinaryObjective = 800 * time.Millisecond
)

// endlessTime is how long they do so.
var endlessTime = flag.Duration("endless.time", 3*time.Second, "how long each form of answers without end is sent")

// endlessForm is what a target sends: once, and then again and again.
type endlessForm struct {
	prefix, repeat string
	held           bool // a body that takes memory until it is cut
}

// emptyAnswer is a complete answer to a request with an ID.
const emptyAnswer = platformtest.SignedHead + "Request-Id: %s\r\nContent-Length: 0\r\n\r\n"

// endlessForms are the forms of answers without end, by name.
var endlessForms = map[string]endlessForm{
	"chunks of one byte":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
	"chunks of 16 bytes":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", false},
	"one chunk":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x", true},
	"chunk extension":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", false},
	"trailers":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
	"body to the close":     {"HTTP/1.1 200 OK\r\n\r\n", "x", true},
	"status line":           {"HTTP/1.1 200 O", "K", false},
	"header fields":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
	"interim heads":         {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
	"line ends":             {"", "\r\n", false},
	"behind an empty body":  {emptyAnswer, "x", false},
	"behind no content":     {"HTTP/1.1 204 No Content\r\n" + platformtest.StampHeader + ": s\r\nRequest-Id: %s\r\n\r\n", "x", false},
	"answers behind others": {emptyAnswer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
}

// answerEndless hijacks the connection of a request and answers it without end.
func answerEndless(ctx *fasthttp.RequestCtx, form endlessForm) {
	prefix := form.prefix
	if strings.Contains(prefix, "%s") {
		prefix = fmt.Sprintf(prefix, ctx.Request.Header.Peek("Request-Id"))
	}
	block := bytes.Repeat([]byte(form.repeat), (64<<10)/len(form.repeat))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		if _, err := conn.Write([]byte(prefix)); err != nil {
			return
		}
		for {
			if _, err := conn.Write(block); err != nil {
				return // the daemon has closed the connection
			}
		}
	})
}

// Answers without end kept the processor of a daemon with one core: a body in chunks of one byte
// was decoded for whole time slices, and 12 of 500 ordinary requests beside it were answered. No
// other caller may notice, at the daemon beside the target and at the one that the request came
// from, and none may get bytes of another answer.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, form := range endlessForms {
		for _, memory := range []int{memoryMB, 184, 284} {
			if memory != memoryMB && !form.held {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d MB", name, memory), func(t *testing.T) {
				f := startWith(t, conditions{cores: oneCore, memory: memory, endless: &form}, maxBodyBytes)
				done := make(chan struct{})
				var all sync.WaitGroup
				var endless atomic.Int64
				for i := range endlessCallers {
					n := f.nodes[i%len(f.nodes)]
					all.Go(func() {
						for ; !isClosed(done); endless.Add(1) {
							_, _, _ = platformtest.RawCall(n.addr(callerPort), string(headOf(viewsPath+endlessPath, "")))
						}
					})
				}
				var ordinary ordinaryCalls
				for _, n := range f.nodes {
					for _, path := range []string{localPath, remotePath} {
						all.Go(func() { ordinary.repeat(n.addr(callerPort), path, done) })
					}
				}
				time.Sleep(*endlessTime)
				close(done)
				all.Wait()
				ordinary.check(t)
				t.Logf("%d requests answered without end", endless.Load())
			})
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// ordinaryCalls are the times and failures of requests that a target answers properly.
type ordinaryCalls struct {
	mu     sync.Mutex
	took   []time.Duration
	failed []string
}

// repeat sends requests one after the other, each on a new connection, until done is closed.
func (o *ordinaryCalls) repeat(addr, path string, done <-chan struct{}) {
	for !isClosed(done) {
		start := time.Now()
		status, _, err := platformtest.RawCall(addr, string(headOf(path, "Content-Length: 0\r\n")))
		o.mu.Lock()
		o.took = append(o.took, time.Since(start))
		if status != http.StatusOK {
			o.failed = append(o.failed, fmt.Sprintf("%s: status %d, error %v after %v", path, status, err, time.Since(start).Round(time.Millisecond)))
		}
		o.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// check fails the test unless all requests were served, 95 in 100 of them within their objective.
func (o *ordinaryCalls) check(t *testing.T) {
	t.Helper()
	slices.Sort(o.took)
	quantile := func(q float64) time.Duration { return o.took[int(q*float64(len(o.took)-1))].Round(time.Millisecond) }
	t.Logf("%d ordinary requests, %d not served; median %v, 95th percentile %v, longest %v", len(o.took), len(o.failed), quantile(0.5), quantile(0.95), quantile(1))
	if len(o.failed) > 0 {
		t.Errorf("%d of %d ordinary requests were not served, the first ones: %v", len(o.failed), len(o.took), o.failed[:min(len(o.failed), 5)])
	}
	if late := quantile(0.95); late > ordinaryObjective {
		t.Errorf("the 95th percentile of ordinary requests is %v, want at most %v", late, ordinaryObjective)
	}
}
