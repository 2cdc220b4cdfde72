package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, path string
	id           string // drawn if it is empty
	deadline     time.Duration
	body         []byte
	lines        string // further header fields, each with its line end
}

// result is what a client has seen of an attempt.
type result struct {
	id      string
	status  int  // 0 if no complete answer arrived
	stamped bool // the answer has the signature of a backend
	kept    bool // the connection had carried a request before
	sent    bool // the whole request was written
	took    time.Duration
	err     error
}

// client sends requests to the daemon of its machine, one at a time, on a connection that it
// keeps.
type client struct {
	m      *machine
	leave  time.Duration // after which it gives up, before its deadline; 0 if it does not
	conn   net.Conn
	reader *bufio.Reader
	used   int // requests on the connection
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // it may be closed already
		c.conn = nil
	}
}

// call sends a request and waits for its answer until its deadline.
func (c *client) call(r request) result {
	if r.id == "" {
		r.id = newID()
	}
	begin := time.Now()
	res := result{id: r.id}
	res.err = c.exchange(&r, &res, begin)
	res.took = time.Since(begin)
	if res.err != nil {
		c.close()
	}
	return res
}

func (c *client) exchange(r *request, res *result, begin time.Time) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.addr(outboundPort), time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	res.kept = c.used > 0
	c.used++
	patience := r.deadline
	if c.leave > 0 {
		patience = min(patience, c.leave)
	}
	if err := c.conn.SetDeadline(begin.Add(patience)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n%s\r\n",
		r.method, r.path, requestHost, r.id, name("deadline"), r.deadline.Milliseconds(), len(r.body), r.lines)
	if _, err := io.Copy(c.conn, io.MultiReader(strings.NewReader(head), strings.NewReader(string(r.body)))); err != nil {
		return err
	}
	res.sent = true
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	res.status, res.stamped = resp.StatusCode, resp.Header.Get(name("stamp")) != ""
	if resp.Close {
		c.close()
	}
	return nil
}
