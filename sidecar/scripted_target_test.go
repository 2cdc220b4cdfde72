package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// scriptedTarget is a stand-in for a target that answers requests with given bytes.
type scriptedTarget struct {
	listener net.Listener

	mu       sync.Mutex
	answer   string             // "ID" stands for the id of the request
	others   map[string]string  // answers in place of it, by path
	end      func(*net.TCPConn) // of a connection after the answer, if not nil; the body of the request is not read
	received map[string]int
	headers  map[string]http.Header
	conns    int // that were accepted
}

// hangingPath is the path of requests that a scriptedTarget does not answer.
const hangingPath = "/book/hang"

// signedAnswer is the usual answer of a scriptedTarget.
const signedAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + platformtest.StampHeader + ": s\r\nContent-Length: 5\r\n\r\nwhole"

// deployScripted starts an entry and another daemon, which has a scripted target.
func deployScripted(t *testing.T) (*deployment, *scriptedTarget) {
	t.Helper()
	return deployScriptedWith(t, func(*testNode) {})
}

// deployScriptedWith is deployScripted with a function that changes each node before it starts.
func deployScriptedWith(t *testing.T, tune func(*testNode)) (*deployment, *scriptedTarget) {
	t.Helper()
	s := &scriptedTarget{answer: signedAnswer, others: make(map[string]string), received: make(map[string]int), headers: make(map[string]http.Header)}
	d := deployWith(t, func(n *testNode) {
		tune(n)
		if n.settings.Service != plainService {
			return
		}
		n.target.ListenAddr = fmt.Sprintf("%s:%d", n.settings.IP, 7007)
		var err error
		if s.listener, err = net.Listen("tcp", n.settings.TargetAddr); err != nil {
			t.Fatal(err)
		}
		go s.accept(s.listener)
		t.Cleanup(func() { _ = s.listener.Close() })
	}, keyedService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	return d, s
}

func (s *scriptedTarget) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		s.mu.Lock()
		s.received[id]++
		s.headers[id] = req.Header
		answer, end := s.answer, s.end
		if other, ok := s.others[req.URL.Path]; ok {
			answer = other
		}
		answer = strings.ReplaceAll(answer, "ID", id)
		s.mu.Unlock()
		if req.URL.Path == hangingPath {
			_, _ = io.Copy(io.Discard, c) // until it is canceled
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		if end != nil {
			end(c.(*net.TCPConn))
			return
		}
		if err := req.Body.Close(); err != nil { // reads the rest of it
			return
		}
	}
}

// set sets the answer to further requests.
func (s *scriptedTarget) set(answer string) { s.setWithEnd(answer, nil) }

// setFor sets the answer to further requests of a path.
func (s *scriptedTarget) setFor(path, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others[path] = answer
}

// setWithEnd sets the answer to further requests, after which end ends the connection.
func (s *scriptedTarget) setWithEnd(answer string, end func(*net.TCPConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.end = answer, end
}

// closeNow ends a connection with the answer.
func closeNow(c *net.TCPConn) { _ = c.Close() }

// connections returns the number of connections that were accepted.
func (s *scriptedTarget) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// header returns the header of a request that was received.
func (s *scriptedTarget) header(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[id]
}

// requests returns how often a request was received.
func (s *scriptedTarget) requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}
