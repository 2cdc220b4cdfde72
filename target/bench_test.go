package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkDo is one request at a time on a kept connection. The response has as many fields as
// usual, and a body in the form that the name states.
func BenchmarkDo(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\nServer: bookings/2.4\r\n" +
		"Content-Type: application/json; charset=utf-8\r\nRequest-Id: 4f1c2a7e9b3d\r\nStamp: 0123456789abcdef0123456789abcdef\r\nCache-Control: no-store\r\n"
	for name, answer := range map[string]string{
		"length":  head + "Content-Length: 5\r\n\r\nwhole",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole",
	} {
		b.Run(name, func(b *testing.B) { benchmarkDo(b, answer) })
	}
}

// BenchmarkUpload is one upload at a time, which the target reads before it responds. A response
// without a length ends its connection.
func BenchmarkUpload(b *testing.B) {
	for name, c := range map[string]struct {
		answer string
		work   time.Duration // of the target, after it has read the upload
	}{
		"length":                       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 0},
		"to close":                     {"HTTP/1.1 200 OK\r\n\r\nwhole", 0},
		"to close, after 60 ms":        {"HTTP/1.1 200 OK\r\n\r\nwhole", 60 * time.Millisecond},
		"length and close":             {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", 0},
		"length and close after 60 ms": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", 60 * time.Millisecond},
	} {
		b.Run(name, func(b *testing.B) { benchmarkUpload(b, c.answer, c.work) })
	}
}

func benchmarkUpload(b *testing.B, answer string, work time.Duration) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the benchmark ends
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					time.Sleep(work)
					_, _ = io.WriteString(c, answer) // a failed write shows in the response
					if !strings.Contains(answer, "Length") || strings.Contains(answer, "close") {
						return
					}
				}
			}()
		}
	}()
	client := New(Config{Addr: l.Addr().String(), MaxConns: 1, AllowCloseDelimited: true})
	defer client.Close()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	req.SetBody(make([]byte, 100_000))
	b.ReportAllocs()
	for b.Loop() {
		call := Call{Request: &req, Response: &resp, Deadline: time.Now().Add(time.Minute)}
		if _, err := client.Do(&call); err != nil || string(resp.Body()) != "whole" {
			b.Fatalf("body %q, error %v", resp.Body(), err)
		}
	}
}

func benchmarkDo(b *testing.B, answer string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the benchmark ends
	go answerEach(l, answer)
	client := New(Config{Addr: l.Addr().String(), MaxConns: 1})
	defer client.Close()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	b.ReportAllocs()
	for b.Loop() {
		call := Call{Request: &req, Response: &resp, Deadline: time.Now().Add(time.Minute)}
		if _, err := client.Do(&call); err != nil || string(resp.Body()) != "whole" {
			b.Fatalf("body %q, error %v", resp.Body(), err)
		}
	}
}

// answerEach answers each packet of a connection, which holds one request.
func answerEach(l net.Listener, answer string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	request := make([]byte, 4096)
	for {
		if _, err := c.Read(request); err != nil {
			return
		}
		if _, err := io.Copy(c, strings.NewReader(answer)); err != nil {
			return
		}
	}
}
