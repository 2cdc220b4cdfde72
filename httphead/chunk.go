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
	err = peek(r, func(b []byte) (int, error) {
		line = bytes.IndexByte(b, '\n') + 1
		if line == 0 {
			return 0, nil
		}
		var err error
		size, err = chunkSize(b[:line])
		return line, err
	})
	return line, size, err
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
