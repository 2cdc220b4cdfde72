package httphead

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

const (
	versionPrefix = "HTTP/1." // of all versions of which messages can be read
	versionSize   = len(versionPrefix) + 1
	version11     = versionPrefix + "1"
)

// checkStatusLine checks: HTTP-version SP status-code [ SP reason-phrase ].
func (s *Scanner) checkStatusLine(line []byte) (status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isVersion(version) {
		return 0, s.fault(line, "a status line begins with an HTTP/1 version and a space")
	}
	s.otherMinor = string(version) != version11
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !isStatus(code) {
		return 0, &StatusError{Status: shorten(code)}
	}
	if !isText(reason) {
		return 0, s.fault(line, "a reason phrase has no control characters")
	}
	return int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'), nil
}

// checkRequestLine checks: method SP request-target SP HTTP-version.
func (s *Scanner) checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !isToken(method):
		return s.fault(line, "a method is a token")
	case len(target) == 0 || !isText(target) || bytes.IndexByte(target, '\t') >= 0:
		return s.fault(line, "a request target is not empty and has no control characters")
	case !isVersion(version):
		return s.fault(line, "a request line ends with an HTTP/1 version")
	}
	s.otherMinor = string(version) != version11
	return nil
}

// checkField checks: field-name ":" OWS field-value OWS.
func (s *Scanner) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return s.fault(line, "a field line has a colon")
	case !isToken(name):
		return s.fault(line, "a field name is a token, without whitespace or control characters")
	case !isText(value):
		return s.fault(line, "a field value has no control characters")
	}
	switch {
	case isName(name, fasthttp.HeaderContentLength):
		s.hasLength = true
	case isName(name, fasthttp.HeaderTransferEncoding):
		if s.otherMinor {
			return s.fault(line, "Transfer-Encoding belongs to HTTP/1.1")
		}
		s.hasCoding = true
	}
	return nil
}

func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func isVersion(b []byte) bool {
	return len(b) == versionSize && string(b[:len(versionPrefix)]) == versionPrefix && isDigit(b[len(versionPrefix)])
}

func isStatus(b []byte) bool {
	return len(b) == 3 && '1' <= b[0] && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isToken(b []byte) bool {
	for _, c := range b {
		if classes[c]&inToken == 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b consists of visible characters, bytes above 127, spaces and tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if classes[c]&inText == 0 {
			return false
		}
	}
	return true
}

// Classes of bytes.
const (
	inToken = 1 << iota
	inText
)

var classes = newClasses()

func newClasses() (classes [256]byte) {
	for c := range classes {
		if c >= ' ' && c != 0x7f || c == '\t' {
			classes[c] |= inText
		}
		if isDigit(byte(c)) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' {
			classes[c] |= inToken
		}
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		classes[c] |= inToken
	}
	return classes
}
