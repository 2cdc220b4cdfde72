package logwire

import (
	"net/url"
	"strings"
)

const (
	// PathPrefix is the path under which streams are found.
	PathPrefix = "/v1/streams/"

	// ContentTypeBatch is the content type of a Batch.
	ContentTypeBatch = "application/msgpack"

	// MaxPayloadBytes is the largest payload of one record.
	MaxPayloadBytes = 1 << 20

	// MaxBatchBytes is the payload size after which a read's answer takes in
	// no further record.
	MaxBatchBytes = 4 << 20

	// QueryFrom, QueryLimit and QueryWait name the parameters of a read.
	QueryFrom  = "from"
	QueryLimit = "limit"
	QueryWait  = "wait_ms"
)

// Path returns the request path of a stream.
func Path(stream string) string {
	return PathPrefix + url.PathEscape(stream)
}

// StreamOf returns the stream that a request path names.
func StreamOf(path string) (string, bool) {
	escaped, found := strings.CutPrefix(path, PathPrefix)
	if !found || escaped == "" {
		return "", false
	}
	stream, err := url.PathUnescape(escaped)
	return stream, err == nil
}
