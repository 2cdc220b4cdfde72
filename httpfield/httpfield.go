// Package httpfield classifies HTTP header fields for forwarding.
package httpfield

import "bytes"

// Prefix starts the names of all header fields that parsleystack defines.
const Prefix = "Parsley-"

var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HopByHop reports whether a field applies to one connection only and must not be
// forwarded.
func HopByHop(name []byte) bool {
	for _, h := range hopByHop {
		if equal(name, h) {
			return true
		}
	}
	return false
}

// Internal reports whether parsleystack defines the field. Such fields are not accepted
// from callers, and not passed from targets to callers.
func Internal(name []byte) bool {
	return len(name) >= len(Prefix) && equal(name[:len(Prefix)], Prefix)
}

// ListedInConnection reports whether the value of a Connection header lists the
// field. Such a field applies to one connection only.
func ListedInConnection(connection, name []byte) bool {
	if len(connection) == 0 {
		return false
	}
	for token := range bytes.SplitSeq(connection, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(token), name) {
			return true
		}
	}
	return false
}

// ContentLength reports whether a field is Content-Length.
func ContentLength(name []byte) bool { return equal(name, "Content-Length") }

func equal(name []byte, s string) bool {
	return len(name) == len(s) && bytes.EqualFold(name, []byte(s))
}
