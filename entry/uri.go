package entry

import (
	"bytes"
	"strings"
)

// splitURI splits an origin-form request URI into the service's name, the path
// below the service's prefix and the query. It reports false for a URI that a
// target could interpret differently from the gateway.
func splitURI(uri []byte) (service, path, query []byte, ok bool) {
	if len(uri) == 0 || uri[0] != '/' || !hasOnlyURIBytes(uri) {
		return nil, nil, nil, false
	}
	path, query, _ = bytes.Cut(uri, []byte{'?'})
	if hasDotSegment(path) {
		return nil, nil, nil, false
	}
	service, _, _ = bytes.Cut(path[1:], []byte{'/'})
	path = path[1+len(service):]
	return service, path, query, true
}

// hasOnlyURIBytes reports whether uri has only printable ASCII bytes, and no
// fragment or backslash.
func hasOnlyURIBytes(uri []byte) bool {
	for _, c := range uri {
		if c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return false
		}
	}
	return true
}

// hasDotSegment reports whether a path has a "." or ".." segment, percent-encoded
// or not.
func hasDotSegment(path []byte) bool {
	if bytes.IndexByte(path, '.') < 0 && bytes.IndexByte(path, '%') < 0 {
		return false
	}
	for segment := range bytes.SplitSeq(path, []byte{'/'}) {
		if isDots(segment) {
			return true
		}
	}
	return false
}

func isDots(segment []byte) bool {
	const longest = len("%2e%2e")
	if len(segment) == 0 || len(segment) > longest {
		return false
	}
	s := strings.ReplaceAll(strings.ToLower(string(segment)), "%2e", ".")
	return s == "." || s == ".."
}
