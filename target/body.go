package target

import (
	"io"
	"net/http/httputil"

	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// readBody reads the body of a response of the given length and its trailer. Bodies
// that are short by their stated length are not counted.
func (c *Client) readBody(conn *conn, call *Call, length int) error {
	resp := call.Response
	if length >= 0 && length <= min(recvlimit.FreeBytes, c.cfg.MaxBody) {
		return resp.ReadBody(conn.reader, c.cfg.MaxBody)
	}
	var body io.Reader = conn.reader
	if length == lengthChunked {
		body = &chunkedBody{decoded: httputil.NewChunkedReader(conn.reader), conn: conn, start: conn.consumed()}
	}
	b, err := recvlimit.ReadBody(body, max(length, recvlimit.LengthUnknown), c.cfg.MaxBody, c.cfg.Source, call.held)
	if err != nil {
		return err
	}
	resp.SetBodyRaw(b)
	if length != lengthChunked {
		return nil
	}
	return httphead.ReadTrailer(conn.reader, &resp.Header)
}

// maxFraming is how much larger than the body the framing of its chunks may be, in bytes. Chunks
// of 6 bytes or more are as large as their framing; a quarter of a million of one byte fit.
const maxFraming = 1 << 20

// chunkedBody is the body in chunks of a response. The time that it takes to decode grows with
// the number of chunks, which the limit for the body's size does not bound.
type chunkedBody struct {
	decoded io.Reader
	conn    *conn
	start   int // bytes of the connection that were consumed before the body
	size    int // bytes of the body that were decoded
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.decoded.Read(p)
	b.size += n
	if framing := b.conn.consumed() - b.start - b.size; framing > b.size+maxFraming {
		return n, ErrTooMuchFraming
	}
	return n, err
}
