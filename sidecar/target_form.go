package sidecar

import "bytes"

var schemeSeparator = []byte("://")

// originForm returns the path and query of a request target. Callers may send the absolute
// form, http://host/path, whose host has replaced that of the Host header already.
func originForm(target []byte) []byte {
	if len(target) == 0 || target[0] == '/' {
		return target
	}
	_, rest, absolute := bytes.Cut(target, schemeSeparator)
	if !absolute {
		return target
	}
	i := bytes.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return []byte("/")
	case rest[i] == '?':
		return append([]byte("/"), rest[i:]...)
	}
	return rest[i:]
}
