package logwire

import (
	"net/url"
	"strings"
)

const (
	// PathPrefix is the prefix of the request path of a stream.
	PathPrefix = "/v1/streams/"

	// ContentTypeBatch is the content type of a Batch.
	ContentTypeBatch = "application/msgpack"

	// MaxPayloadBytes is the largest payload size of a record.
	MaxPayloadBytes = 1 << 20

	// MaxBatchBytes is the total payload size above which no further record is
	// added to the response to a read.
	MaxBatchBytes = 4 << 20

	// QueryFrom, QueryLimit and QueryWait are the query parameters of a read.
	QueryFrom  = "from"
	QueryLimit = "limit"
	QueryWait  = "wait_ms"
)

// Path returns the request path of a stream; StreamFromPath is its inverse.
func Path(stream string) string {
	return PathPrefix + url.PathEscape(stream)
}

// StreamFromPath returns the name of the stream in a request path. It reports
// false if path is not the path of a stream.
func StreamFromPath(path string) (string, bool) {
	escaped, found := strings.CutPrefix(path, PathPrefix)
	if !found || escaped == "" {
		return "", false
	}
	stream, err := url.PathUnescape(escaped)
	return stream, err == nil
}
