package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net"

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/fairread"
)

// connBufferSize is the largest head of a response that a ClientConn passes on, in bytes. It is
// that of a client of fasthttp.
const connBufferSize = 4 << 10

// ClientConn is a connection of a client of fasthttp, which sends one request at a time. It
// follows the responses, passes on their heads and trailers only once these have been judged, and
// begins no request while bytes of the server are unread. Reads without end yield the processor.
type ClientConn struct {
	net.Conn
	reader *bufio.Reader
	stage  stage
	ready  int  // bytes that are passed on before the next stage
	fresh  bool // nothing was read since the request was written
	// malformed is what is wrong with the head or trailer in place of which a byte was passed on.
	malformed error
}

// stage is what is received next of a response.
type stage int

const (
	atHead stage = iota
	atChunk
	atTrailer
	atEnd // what follows is not judged: a body by its length or to the end of the connection
)

// NewClientConn returns a connection that judges what is received on c.
func NewClientConn(c net.Conn) *ClientConn {
	return &ClientConn{Conn: c, reader: bufio.NewReaderSize(&fairread.Conn{Conn: c}, connBufferSize)}
}

// Write writes a part of a request. It returns ErrSurplus, without writing anything, if a request
// begins while bytes of the server are unread: they would be taken for its response.
func (c *ClientConn) Write(b []byte) (int, error) {
	if !c.fresh && (c.reader.Buffered() > 0 || connprobe.Unread(c.Conn)) {
		return 0, ErrSurplus
	}
	c.fresh, c.stage, c.ready = true, atHead, 0
	return c.Conn.Write(b)
}

// placeholder is a byte with which a head or a trailer may begin.
const placeholder = 'H'

// Read returns a *LineError or *StatusError in place of a malformed head or trailer. A placeholder
// comes first, as fasthttp takes any error of the first byte for the end of the connection.
func (c *ClientConn) Read(p []byte) (int, error) {
	c.fresh = false
	for c.ready == 0 && c.stage != atEnd {
		if c.malformed != nil {
			return 0, c.malformed
		}
		err := c.advance()
		switch {
		case Malformed(err) && len(p) > 0:
			c.malformed = err
			p[0] = placeholder
			return 1, nil
		case err != nil:
			return 0, err
		}
	}
	if c.ready > 0 {
		p = p[:min(len(p), c.ready)]
	}
	n, err := c.reader.Read(p)
	c.ready = max(0, c.ready-n)
	return n, err
}

// advance judges what is received next and sets how many bytes of it are passed on.
func (c *ClientConn) advance() error {
	switch c.stage {
	case atHead:
		h, err := PeekResponse(c.reader)
		if err != nil {
			return err
		}
		c.ready = h.Size
		switch {
		case h.IsInterim():
		case h.Chunked && h.hasBody():
			c.stage = atChunk
		default:
			c.stage = atEnd
		}
	case atChunk:
		line, size, err := c.peekChunkSize()
		if err != nil {
			return err
		}
		c.ready = line
		if size == 0 {
			c.stage = atTrailer
			return nil
		}
		c.ready += size + len("\r\n")
	case atTrailer:
		size, err := PeekTrailer(c.reader)
		if err != nil {
			return err
		}
		c.ready, c.stage = size, atEnd
	case atEnd:
	}
	return nil
}

// maxSizeDigits is the number of hexadecimal digits of the largest size of a chunk.
const maxSizeDigits = 15

// peekChunkSize waits for the line with the size of a chunk. It returns the size of the line and
// that of the chunk in bytes.
func (c *ClientConn) peekChunkSize() (line, size int, err error) {
	err = peek(c.reader, func(b []byte) (int, error) {
		line = bytes.IndexByte(b, '\n') + 1
		return line, nil
	})
	if err != nil {
		return 0, 0, err
	}
	b, err := c.reader.Peek(line)
	if err != nil {
		return 0, 0, err
	}
	digits := 0
	for ; digits < len(b); digits++ {
		digit := bytes.IndexByte([]byte("0123456789abcdef"), lower(b[digits]))
		if digit < 0 {
			break
		}
		size = size<<4 | digit
		if digits == maxSizeDigits {
			return 0, 0, errChunkSize
		}
	}
	if digits == 0 {
		return 0, 0, errChunkSize
	}
	return line, size, nil
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'F' {
		return c + ('a' - 'A')
	}
	return c
}

var _ io.ReadWriter = (*ClientConn)(nil)
