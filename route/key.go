package route

import (
	"bytes"

	"github.com/parsleystack/parsleystack/service"
)

// KeyInput gives access to the parts of a request that may contain its key.
type KeyInput interface {
	// Path returns the undecoded path below the service's prefix; it starts
	// with a slash.
	Path() []byte
	// Query returns the undecoded query without its question mark.
	Query() []byte
	// Header returns the value of the named header field, nil if the field is
	// absent. ok is false if there is more than one.
	Header(name string) (value []byte, ok bool)
}

// Key extracts the key of a request by the service's rule and appends it,
// decoded, to dst. It returns a KeyError if the request has no key, or if the
// key is ambiguous and a target might read another one.
func Key(dst []byte, rule *service.KeyRule, in KeyInput) ([]byte, error) {
	start := len(dst)
	dst, err := appendKey(dst, rule, in)
	if err != nil {
		return dst[:start], err
	}
	if len(dst) == start {
		return dst, &KeyError{Rule: *rule, Problem: "is missing or empty"}
	}
	return dst, nil
}

func appendKey(dst []byte, rule *service.KeyRule, in KeyInput) ([]byte, error) {
	switch rule.Source {
	case service.KeyPathSegment:
		return pathKey(dst, rule, in.Path())
	case service.KeyQuery:
		return queryKey(dst, rule, in.Query())
	case service.KeyHeader:
		value, ok := in.Header(rule.Name)
		if !ok {
			return dst, &KeyError{Rule: *rule, Problem: "is given more than once"}
		}
		return append(dst, value...), nil
	}
	return dst, nil
}

func pathKey(dst []byte, rule *service.KeyRule, path []byte) ([]byte, error) {
	path = bytes.TrimPrefix(path, []byte{'/'})
	for i := 0; ; i++ {
		part, rest, more := bytes.Cut(path, []byte{'/'})
		if i == rule.Segment {
			return appendDecoded(dst, rule, part, false)
		}
		if len(part) == 0 {
			return dst, &KeyError{Rule: *rule, Problem: "follows an empty path segment"}
		}
		if !more {
			return dst, nil
		}
		path = rest
	}
}

func queryKey(dst []byte, rule *service.KeyRule, query []byte) ([]byte, error) {
	start := len(dst)
	found := false
	for len(query) > 0 {
		var part []byte
		part, query, _ = bytes.Cut(query, []byte{'&'})
		rawName, value, _ := bytes.Cut(part, []byte{'='})
		mark := len(dst)
		name, err := appendDecoded(dst, rule, rawName, true)
		if err != nil {
			return dst, err
		}
		matches := string(name[mark:]) == rule.Name
		dst = name[:mark]
		if !matches {
			continue
		}
		if found {
			return dst[:start], &KeyError{Rule: *rule, Problem: "is given more than once"}
		}
		found = true
		if dst, err = appendDecoded(dst, rule, value, true); err != nil {
			return dst, err
		}
	}
	return dst, nil
}

// appendDecoded appends s to dst with its percent escapes decoded.
func appendDecoded(dst []byte, rule *service.KeyRule, s []byte, plusIsSpace bool) ([]byte, error) {
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '+' && plusIsSpace:
			dst = append(dst, ' ')
		case s[i] != '%':
			dst = append(dst, s[i])
		case i+2 < len(s) && isHex(s[i+1]) && isHex(s[i+2]):
			dst = append(dst, unhex(s[i+1])<<4|unhex(s[i+2]))
			i += 2
		default:
			return dst, &KeyError{Rule: *rule, Problem: "has a malformed percent escape"}
		}
	}
	return dst, nil
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func unhex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}
