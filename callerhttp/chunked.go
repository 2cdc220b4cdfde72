package callerhttp

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

const (
	// maxOverhead bounds what the extensions of chunks take beyond the framing that chunks
	// of their sizes need.
	maxOverhead = 16 << 10
	// chunkFraming is the framing of a chunk that is not counted as overhead, besides twice
	// its size.
	chunkFraming = 16
	// maxSizeDigits is the number of hexadecimal digits of the largest size of a chunk.
	maxSizeDigits = 15
)

// readChunks reads a chunked body of at most limit bytes and its trailer.
func (c *conn) readChunks(x *Exchange, limit int) error {
	x.body = x.body[:0]
	overhead := 0
	for {
		size, err := readChunkSize(c.br, &overhead)
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		if len(x.body)+size > limit {
			return fasthttp.ErrBodyTooLarge
		}
		if err := c.readChunk(x, len(x.body)+size, limit); err != nil {
			return err
		}
	}
	h := &x.Ctx.Request.Header
	if len(x.body) == 0 {
		h.SetContentLength(0)
	}
	return c.parse(x, true)
}

// readChunk reads the bytes of one chunk, up to which the body has end bytes.
func (c *conn) readChunk(x *Exchange, end, limit int) error {
	for len(x.body) < end {
		if len(x.body) == cap(x.body) {
			size := min(max(2*cap(x.body), maxKeptBody), limit)
			if err := c.growBody(x, size); err != nil {
				return err
			}
		}
		n, err := c.br.Read(x.body[len(x.body):min(cap(x.body), end)])
		x.body = x.body[:len(x.body)+n]
		if err != nil {
			return err
		}
	}
	return readEnd(c.br, errChunkEnd)
}

// readChunkSize reads the size of a chunk, its extensions and the end of the line. overhead is
// the sum for the body.
func readChunkSize(r *bufio.Reader, overhead *int) (int, error) {
	size, digits := 0, 0
	var b byte
	var err error
	for {
		if b, err = r.ReadByte(); err != nil {
			return 0, err
		}
		digit, ok := hexDigit(b)
		if !ok {
			break
		}
		if digits++; digits > maxSizeDigits {
			return 0, errChunkSize
		}
		size = size<<4 | digit
	}
	if digits == 0 {
		return 0, errChunkSize
	}
	extra := 0
	extension, space := false, false
	for ; b != '\r'; extra++ {
		switch {
		case b == '\n', extra > maxOverhead:
			return 0, errChunkSize
		case extension:
		case b == ';' && !space:
			extension = true
		case b == ' ' || b == '\t':
			space = true
		default:
			return 0, errChunkSize
		}
		if b, err = r.ReadByte(); err != nil {
			return 0, err
		}
	}
	if b, err = r.ReadByte(); err != nil {
		return 0, err
	}
	if b != '\n' {
		return 0, errChunkSize
	}
	*overhead = max(0, *overhead+extra-chunkFraming-2*size)
	if *overhead > maxOverhead {
		return 0, errTooMuchOverhead
	}
	return size, nil
}

// readEnd reads CRLF. It returns malformed if there is something else.
func readEnd(r *bufio.Reader, malformed error) error {
	for _, want := range []byte("\r\n") {
		b, err := r.ReadByte()
		if err != nil {
			return err
		}
		if b != want {
			return malformed
		}
	}
	return nil
}

func hexDigit(b byte) (int, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int(b|0x20-'a') + 10, true
	}
	return 0, false
}
