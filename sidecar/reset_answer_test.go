package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// answerToClose is an answer of a scriptedTarget that ends with its connection.
const answerToClose = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + ": s\r\n\r\nwhole"

// uploadAll sends uploads from each daemon, also idempotent ones, and calls check with the
// answers.
func (d *deployment) uploadAll(t *testing.T, check func(name string, status int, body string)) {
	t.Helper()
	body := strings.Repeat("x", platformtest.DefaultMaxBodyBytes)
	for i, n := range d.nodes {
		for _, path := range []string{"/book/a", listPrefix + "a"} {
			for range 10 {
				request := platformtest.Head(host, http.MethodPost, path, newID(), fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
				status, answer, err := platformtest.BodyCall(n.settings.CallerAddr, request)
				if err != nil {
					t.Fatal(err)
				}
				check(fmt.Sprintf("%s from daemon %d", path, i), status, answer)
			}
		}
	}
}

// A target answered uploads at once with a part of a body without a length, and reset the
// connection. Callers got the part with 200.
func TestPartOfAnAnswerThatIsResetIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	d.configureRoutes(platformtest.Route{Prefix: listPrefix, Idempotent: true, Service: plainService})
	d.awaitRoute(listPrefix + "a")
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		target.setWithEnd(strings.Replace(answerToClose, "whole", "part", 1), func(c *net.TCPConn) {
			time.Sleep(pause)
			_ = c.SetLinger(0) // a failure shows as an orderly end
			_ = c.Close()
		})
		d.uploadAll(t, func(name string, status int, body string) {
			if status != http.StatusBadGateway {
				t.Errorf("%s, reset after %v: status %d, body %.40q; want 502", name, pause, status, body)
			}
		})
	}
	target.setWithEnd(answerToClose, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	})
	d.uploadAll(t, func(name string, status int, body string) {
		if status != http.StatusOK || body != "whole" {
			t.Errorf("%s, ended in order: status %d, body %.40q; want the whole answer", name, status, body)
		}
	})
}
