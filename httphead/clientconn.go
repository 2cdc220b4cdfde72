package httphead

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/fairread"
)

// connBufferSize is the largest head of a response that a ClientConn passes on, in bytes. It is
// that of a client of fasthttp.
const connBufferSize = 4 << 10

// ClientConn is a connection of a client of fasthttp, which sends one request at a time. It
// follows the responses, passes on their heads and trailers only once these are validated, and begins
// no request while bytes of the server are unread. Reads without end yield the processor.
type ClientConn struct {
	net.Conn
	reader *bufio.Reader
	stage  stage
	ready  int // bytes that are passed on before the next stage
	// sending is set if a request was written of whose response nothing was read yet.
	sending bool
	// malformed is what is wrong with the head or trailer in place of which a byte was passed on.
	malformed error

	upload       connprobe.Upload // the request
	endsWithConn bool             // the body of the response ends with the connection
}

// stage is what is received next of a response.
type stage int

const (
	atHead stage = iota
	atChunk
	atTrailer
	atEnd // what follows is not validated: a body by its length, or to the end of the connection
)

// NewClientConn returns a connection that validates what is received on c.
func NewClientConn(c net.Conn) *ClientConn {
	return &ClientConn{Conn: c, reader: bufio.NewReaderSize(&fairread.Conn{Conn: c}, connBufferSize), upload: connprobe.NewUpload(c)}
}

// Write writes a part of a request. It returns ErrSurplus, without writing anything, if a request
// begins while bytes of the server are unread: they would be taken for its response.
func (c *ClientConn) Write(b []byte) (int, error) {
	if !c.sending && (c.reader.Buffered() > 0 || connprobe.Unread(c.Conn)) {
		return 0, ErrSurplus
	}
	if !c.sending {
		c.upload.Begin()
	}
	c.upload.Add(len(b))
	c.sending, c.stage, c.ready, c.endsWithConn = true, atHead, 0, false
	return c.Conn.Write(b)
}

// placeholder is a byte with which a head or a trailer may begin.
const placeholder = 'H'

// Read returns a *LineError or *StatusError in place of a malformed head or trailer. A placeholder
// comes first, as fasthttp takes any error of the first byte for the end of the connection. It returns
// a *CutOffError in place of the end of a response that is not known to be whole.
func (c *ClientConn) Read(p []byte) (int, error) {
	c.sending = false
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
	if c.endsWithConn && errors.Is(err, io.EOF) {
		if taken := c.upload.AwaitTaken(nil); taken != nil {
			return n, &CutOffError{Cause: taken}
		}
	}
	return n, err
}

// advance validates what is received next and sets how many bytes of it are passed on.
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
			c.stage, c.endsWithConn = atEnd, h.endsWithConn()
		}
	case atChunk:
		line, size, err := peekChunkSize(c.reader)
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
