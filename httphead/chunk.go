package httphead

import (
	"bufio"
	"bytes"
	"strconv"
)

const (
	hexDigits   = "0123456789abcdefABCDEF"
	maxSizeBits = 60 // of the size of a chunk
)

// peekChunkSize waits for the line with the size of a chunk. It returns the length of the line and
// the size of the chunk in bytes.
func peekChunkSize(r *bufio.Reader) (line, size int, err error) {
	for n := 1; ; {
		b, err := await(r, n)
		if err != nil {
			return 0, 0, err
		}
		if line := bytes.IndexByte(b, '\n') + 1; line > 0 {
			size, err := chunkSize(b[:line])
			return line, size, err
		}
		n = len(b) + 1
	}
}

// chunkSize parses the size that a line begins with; extensions may follow. As in a head, the line
// ends with CRLF.
func chunkSize(line []byte) (int, error) {
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return 0, errChunkSize
	}
	digits := line[:len(line)-len(bytes.TrimLeft(line, hexDigits))]
	size, err := strconv.ParseUint(string(digits), 16, maxSizeBits)
	if err != nil {
		return 0, errChunkSize
	}
	return int(size), nil
}
