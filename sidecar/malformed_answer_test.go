package sidecar

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/logtrace"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// malformedAnswers are answers of a scriptedTarget with a line that HTTP excludes, by the number
// of the line.
func malformedAnswers() map[string]int {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + ": s\r\n"
	all := map[string]int{
		"HTTP/2.0 200 OK" + strings.TrimPrefix(signedAnswer, "HTTP/1.1 200 OK"):                          1,
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + " : s\r\n\r\n":              3,
		head + "Content-Length : 2\r\n\r\nwhole":                                                         4,
		head + "Content -Length: 2\r\n\r\nwhole":                                                         4,
		head + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n":                              4,
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n":                   1,
		strings.Replace(head, "200 OK", "204 No Content", 1) + "Na me: x\r\n\r\n":                        4,
		strings.Replace(head, "200 OK", "503 x", 1) + "Retry-After: 1\r\nNa me: x\r\n\r\n":               5,
		strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 4,
	}
	for _, name := range malformedNames() {
		all[head+name+": x\r\nContent-Length: 5\r\n\r\nwhole"] = 4
		all["HTTP/1.1 103 x\r\nLink: a\r\n"+name+": x\r\n\r\n"+signedAnswer] = 3
	}
	maps.Copy(all, answersWithLineFeeds())
	return all
}

// malformedNames are names of fields with a blank or a control byte in them, some also at their ends.
func malformedNames() []string {
	names := []string{""}
	for _, b := range []string{" ", "\t", "\r", "\n", "\x00", "\x7f"} {
		names = append(names, b+"Name", "Name"+b)
	}
	for c := range 256 {
		if b := byte(c); b <= ' ' || b == 0x7f {
			names = append(names, "Na"+string([]byte{b})+"me")
		}
	}
	return names
}

// answersWithLineFeeds are answers of a scriptedTarget with lines that end with LF alone, by the
// number of the first one. Some are empty: a reader that takes it for the end of the head takes the
// rest for the body.
func answersWithLineFeeds() map[string]int {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + ": s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	return map[string]int{
		head + "\nContent-Length: 2\r\n\r\nok":                                     4,
		head + "\nontent-Length: 2\r\n\r\nok":                                      4,
		head + "\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n":       4,
		head + "Content-Length: 2\r\n\nName: x\r\n\r\nxx":                          5,
		head + "Content-Length: 5\r\n\nwhole":                                      5,
		head + "Content-Length: 5\n\r\nwhole":                                      4,
		strings.Replace(head, "200 OK", "204 No Content", 1) + "\nName: x\r\n\r\n": 4,
		strings.Replace(head, "200 OK", "503 x", 1) + "\nRetry-After: 1\r\n\r\n":   4,
		strings.ReplaceAll(signedAnswer, "\r\n", "\n"):                             1,
		strings.ReplaceAll(answerToClose, "\r\n", "\n"):                            1,
		"\n" + signedAnswer: 1,
		"HTTP/1.1 103 x\r\n\nLink: a\r\n\r\n" + signedAnswer:                               2,
		"HTTP/1.1 103 x\r\nLink: a\r\n\n" + signedAnswer:                                   3,
		chunked + "\nX-Sum: 1\r\n\r\n":                                                     1,
		chunked + "X-Sum: 1\r\n\n\r\n":                                                     2,
		chunked + "\n":                                                                     1,
		strings.Replace(chunked, "\r\n\r\n5", "\r\n\n5", 1) + "\r\n":                       5,
		strings.Replace(head, "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n", 1) + "\r\nwhole": 1,
	}
}

// A target in trouble sent heads in which the name of a field held a blank or a control byte.
// Callers got the line as it was, or another body than the target meant, such as the rest of the head.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	t.Parallel()
	var log jsonLog
	d, target := deployScriptedWith(t, func(n *testNode) { n.log = log.logger() })
	d.configureRoutes(platformtest.Route{Prefix: listPrefix, Idempotent: true, Service: plainService})
	d.awaitRoute(listPrefix + "a")
	count := 0
	var checks []func(lines []logtrace.Line)
	ending := answersWithLineFeeds() // also followed by the end of the connection
	for answer, line := range malformedAnswers() {
		for _, n := range d.nodes { // over a link, and at the target's own instance
			for i, path := range []string{"/book/a", listPrefix + "a", "/book/a", listPrefix + "a"} {
				target.set(answer)
				if i >= 2 {
					if _, ok := ending[answer]; !ok {
						break
					}
					target.setWithEnd(answer, closeNow)
				}
				before := target.connections()
				id := newID()
				a := n.call(http.MethodPost, path, id, platformtest.NoKey)
				received := target.requests(id)
				if a.Status != http.StatusBadGateway || a.Signed || received == 0 || path == "/book/a" && received != 1 {
					t.Errorf("%q to %s: %+v, received %d times; want 502, not 504 at the deadline", answer, path, a, received)
				}
				count += received
				checks = append(checks, func(lines []logtrace.Line) { checkTrace(t, lines, id, received, line) })
				target.set(signedAnswer)
				if a := n.call(http.MethodPost, path, newID(), platformtest.NoKey); a.Status != http.StatusOK || a.Body != "whole" || target.connections() == before {
					t.Errorf("after %q: %+v, reused its connection: %t", answer, a, target.connections() == before)
				}
			}
		}
	}
	lines := log.read(t)
	for _, check := range checks {
		check(lines)
	}
	if m := d.nodes[1].metrics(t); !strings.Contains(m, fmt.Sprintf("%s %d\n", metricResponseMalformed, count)) {
		t.Errorf("the metric does not count %d malformed responses", count)
	}
}

// checkTrace checks that the log has a line for each malformed answer to a request, which names
// the line at fault.
func checkTrace(t *testing.T, lines []logtrace.Line, id string, count, line int) {
	t.Helper()
	found := 0
	for _, l := range logtrace.Find(lines, id).Request {
		if l.Event != logevent.ResponseMalformed.Number {
			continue
		}
		found++
		if text := fmt.Sprint(l.Fields["error"]); !strings.Contains(text, fmt.Sprintf("line %d of the ", line)) {
			t.Errorf("logged %q, want line %d", text, line)
		}
	}
	if found != count {
		t.Errorf("request %s: %d lines in the log, want %d", id, found, count)
	}
}

// The answers of a target to others are delivered beside malformed ones, also on connections that
// are in use at the time.
func TestMalformedAnswerDoesNotEndThoseOfOthers(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	const pairs = 20
	target.setFor("/book/broken", strings.Replace(signedAnswer, "Request-Id", "Request Id", 1))
	statuses := make(chan int, pairs)
	for range pairs {
		go func() {
			statuses <- d.nodes[0].call(http.MethodPost, "/book/broken", newID(), platformtest.NoKey).Status
		}()
		if a := d.nodes[0].call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK || a.Body != "whole" {
			t.Errorf("beside a malformed answer: %+v", a)
		}
		if status := <-statuses; status != http.StatusBadGateway {
			t.Errorf("a malformed answer was passed on with status %d", status)
		}
	}
}
