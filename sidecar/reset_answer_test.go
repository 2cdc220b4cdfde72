package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/logtrace"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// answerToClose is an answer of a scriptedTarget that ends with its connection.
const answerToClose = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + ": s\r\n\r\nwhole"

// uploadSizes are bodies of which a part fits the buffers of the sockets, and that fit as a whole.
var uploadSizes = []int{8 << 20, 1 << 20, 100_000}

// deployUploads starts daemons with a scripted target that accept the largest of uploadSizes.
func deployUploads(t *testing.T) (*deployment, *scriptedTarget) {
	t.Helper()
	d, target := deployScripted(t)
	d.store.MaxBodyBytes = uploadSizes[0]
	d.configureRoutes(platformtest.Route{Prefix: listPrefix, Idempotent: true, Service: plainService})
	d.awaitRoute(listPrefix + "a")
	return d, target
}

// uploadAll sends count uploads of a size from each daemon, and as many idempotent ones, and calls
// check with the answers.
func (d *deployment) uploadAll(t *testing.T, size, count int, check func(name string, status int, body string)) {
	t.Helper()
	body := strings.Repeat("x", size)
	for i, n := range d.nodes {
		for _, path := range []string{"/book/a", listPrefix + "a"} {
			for range count {
				request := platformtest.Head(host, http.MethodPost, path, newID(), fmt.Sprintf("Content-Length: %d\r\n", size)) + body
				status, answer, err := platformtest.BodyCall(n.settings.CallerAddr, request)
				if err != nil {
					t.Fatal(err)
				}
				check(fmt.Sprintf("%s from daemon %d, %d bytes", path, i, size), status, answer)
			}
		}
	}
}

// resetAfter resets a connection after a pause.
func resetAfter(pause time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		_ = c.SetLinger(0) // a failure shows as an orderly end
		_ = c.Close()
	}
}

// endThen ends the direction of the answers before end.
func endThen(end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_ = c.CloseWrite()
		end(c)
	}
}

// readSome reads a part of an upload, for at most 2 ms, before end.
func readSome(end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c, 512<<10)
		end(c)
	}
}

// A target answered uploads at once with a part of a body without a length, and reset the
// connection, some after they had ended the direction of the answer. A process that closes a
// connection, or dies, also ends it that way before the rest of the upload meets the reset.
// Callers got the part with 200.
func TestPartOfAnAnswerThatIsResetIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d, target := deployUploads(t)
	for name, end := range map[string]func(*net.TCPConn){
		"reset at once":                  resetAfter(0),
		"reset after 20 ms":              resetAfter(20 * time.Millisecond),
		"ended, reset at once":           endThen(resetAfter(0)),
		"ended, reset after 1 ms":        endThen(resetAfter(time.Millisecond)),
		"ended, reset after 10 ms":       endThen(resetAfter(10 * time.Millisecond)),
		"ended, closed":                  endThen(closeNow),
		"closed":                         closeNow,
		"read in part, ended, and reset": readSome(endThen(resetAfter(0))),
		"read in part, closed":           readSome(closeNow),
	} {
		target.setWithEnd(strings.Replace(answerToClose, "whole", "part", 1), end)
		for _, size := range uploadSizes {
			if size < 512<<10 && (strings.HasPrefix(name, "read in part") || strings.HasPrefix(name, "ended, reset after")) {
				continue // all of it is read, or has arrived long before on a busy machine
			}
			count := 2
			if size == 1<<20 && strings.HasPrefix(name, "reset") {
				count = 10
			}
			d.uploadAll(t, size, count, func(upload string, status int, body string) {
				if status != http.StatusBadGateway {
					t.Errorf("%s, %s: status %d, body %.40q; want 502", upload, name, status, body)
				}
			})
		}
	}
}

// The daemon beside the target logs why an answer was not passed on, with the id of the request.
func TestAnswerThatEndsBeforeAResetIsNamedInTheLog(t *testing.T) {
	t.Parallel()
	var log jsonLog
	d, target := deployScriptedWith(t, func(n *testNode) { n.log = log.logger() })
	target.setWithEnd(answerToClose, endThen(resetAfter(10*time.Millisecond)))
	id, size := newID(), platformtest.DefaultMaxBodyBytes
	request := platformtest.Head(host, http.MethodPost, "/book/a", id, fmt.Sprintf("Content-Length: %d\r\n", size)) + strings.Repeat("x", size)
	if status, _ := d.nodes[0].rawCall(t, request); status != http.StatusBadGateway {
		t.Fatalf("status %d", status)
	}
	found := 0
	for _, l := range logtrace.Find(log.read(t), id).Request {
		if l.Event == logevent.TargetFailed.Number && strings.Contains(fmt.Sprint(l.Fields["error"]), "ended before the request was taken") {
			found++
		}
	}
	if found != 1 {
		t.Errorf("%d lines of the log name the cause, want 1", found)
	}
}

// An answer that ends while its target reads on what it is being sent is whole.
func TestAnswerThatEndsBeforeItsUploadIsPassedOn(t *testing.T) {
	t.Parallel()
	d, target := deployUploads(t)
	answers := 0
	for name, end := range map[string]func(*net.TCPConn){
		"read to the end": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"read slowly": func(c *net.TCPConn) {
			for {
				if _, err := io.CopyN(io.Discard, c, 256<<10); err != nil {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
		},
	} {
		target.setWithEnd(answerToClose, endThen(end))
		for _, size := range uploadSizes {
			d.uploadAll(t, size, 2, func(upload string, status int, body string) {
				answers++
				if status != http.StatusOK || body != "whole" {
					t.Errorf("%s, ended, then %s: status %d, body %.40q; want the whole answer", upload, name, status, body)
				}
			})
		}
	}
	if m := d.nodes[1].metrics(t); !strings.Contains(m, fmt.Sprintf("parsley_target_upload_wait_seconds_count %d\n", answers)) {
		t.Errorf("the metric does not have the waits of %d answers", answers)
	}
}
