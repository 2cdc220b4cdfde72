package httphead

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// sections are proper and malformed heads and trailers.
var sections = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.1  200 \r\nA:\r\n\r\n",
	"\r\n\r\nHTTP/1.0 599 \xe9t\xe9\r\nA: b\tc \r\n\r\n",
	"\r\n\nHTTP/1.0 599 \xe9t\xe9\nA: b\tc \n\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\nA: b\nContent-Length: 2\n\nok\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok",
	"HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n",
	"HTTP/1.1 600 OK\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/1.1 200 O\x01K\r\n\r\n",
	"HTTP/1.1 200 OK\r\nNa me: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nName : x\r\n\r\n",
	"HTTP/1.1 200 OK\r\n Name: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n Name: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nNa\tme: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nNa\x00me: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\n: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nName\r\n\r\n",
	"HTTP/1.1 200 OK\r\nName: x\ry\r\n\r\n",
	"HTTP/1.1 200 OK\r\r\n\r\n",
	"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n",
	"\r\nOPTIONS * HTTP/1.0\r\nHost: h\r\n\r\n",
	"\r\nOPTIONS * HTTP/1.0\nHost: h\n\n",
	"GET / HTTP/1.1\r\nHost: h\r\n\nContent-Length: 2\r\n\r\nok",
	"GET  / HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1 \r\n\r\n",
	"POST /\x7f HTTP/1.1\r\n\r\n",
	"POST / HTTP/1.1\r\nContent -Length: 5\r\n\r\n",
	"X-Sum: 1\r\n\r\n",
	"X Sum: 1\r\n\r\n",
	"X-Sum: 1\r\n\nX: 1\r\n\r\n",
	"\r\n",
}

// validation is a function of the package, and the strict reading of what it validates.
type validation struct {
	validate func([]byte) (size int, err error)
	scanner  func() Scanner
	strict   *regexp.Regexp
	parse    func(*bufio.Reader) error // what the parser of fasthttp reads by itself
}

var validations = map[string]validation{
	"response": {validate: func(b []byte) (int, error) {
		h, err := Response(b)
		return h.Size, err
	}, scanner: NewResponseScanner, strict: strictResponse, parse: func(r *bufio.Reader) error { return new(fasthttp.ResponseHeader).Read(r) }},
	"request": {Request, NewRequestScanner, strictRequest, func(r *bufio.Reader) error { return new(fasthttp.RequestHeader).Read(r) }},
	"trailer": {Trailer, NewTrailerScanner, strictTrailer, func(r *bufio.Reader) error { return new(fasthttp.ResponseHeader).ReadTrailer(r) }},
}

var (
	// emptyLine matches what has an empty line behind one that is not empty.
	emptyLine = regexp.MustCompile("[^\r\n][^\n]*\n\r?\n")
	// controlByte matches what has a control byte that is no part of the end of a line.
	controlByte = regexp.MustCompile("[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n]|(?:^|[^\r])\n")
)

// check compares the result for a text with the strict reading, and the results for what arrives
// in parts with that for the whole.
func (v validation) check(t *testing.T, text string) {
	t.Helper()
	size, err := v.validate([]byte(text))
	if want := strictSize(v.strict, text); size != want {
		t.Errorf("%q: size %d, error %v; want size %d", text, size, err, want)
	}
	if size == 0 && err == nil && v.strict != strictTrailer && emptyLine.MatchString(text) {
		t.Errorf("%q: neither complete nor malformed", text)
	}
	if size == 0 && err == nil && controlByte.MatchString(text) {
		t.Errorf("%q: waits for more behind a control byte", text)
	}
	v.checkParts(t, text, size, err)
	if size > 0 {
		v.checkParser(t, text, size)
	}
	for n := range len(text) {
		part, partErr := v.validate([]byte(text[:n]))
		switch {
		case partErr != nil && err == nil:
			t.Errorf("%q: error %v after %d bytes, none later", text, partErr, n)
		case part > 0 && part != size, n < size && part > 0:
			t.Errorf("%q: size %d after %d bytes, %d in the end", text, part, n, size)
		}
	}
}

// checkParts checks that a text that arrives byte by byte is taken as the whole, or rejected earlier
// for the same line.
func (v validation) checkParts(t *testing.T, text string, size int, err error) {
	t.Helper()
	s := v.scanner()
	for n := range len(text) + 1 {
		part, partErr := s.Scan([]byte(text[:n]))
		if part > 0 || partErr != nil {
			if part != size || (partErr == nil) != (err == nil) || !sameLine(partErr, err) {
				t.Errorf("%q: size %d, error %v after %d bytes; as a whole %d, %v", text, part, partErr, n, size, err)
			}
			return
		}
	}
	if size > 0 || err != nil {
		t.Errorf("%q: incomplete byte by byte; as a whole size %d, error %v", text, size, err)
	}
}

// sameLine reports whether two errors are not of different lines. A *StatusError has no line.
func sameLine(a, b error) bool {
	var line, other *LineError
	return !errors.As(a, &line) || !errors.As(b, &other) || line.Line == other.Line
}

// checkParser checks that the parser, if it accepts a text that was validated, ends its first section
// at the same byte, and that it does not wait for more.
func (v validation) checkParser(t *testing.T, text string, size int) {
	t.Helper()
	r := bufio.NewReaderSize(strings.NewReader(text), len(text)+1)
	err := v.parse(r)
	if errors.Is(err, io.EOF) {
		t.Errorf("%q: size %d, and the parser waits for more", text, size)
	}
	if parsed := len(text) - r.Buffered(); err == nil && parsed != size {
		t.Errorf("%q: size %d, the parser reads %d bytes", text, size, parsed)
	}
}

func FuzzValidations(f *testing.F) {
	for _, s := range sections {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, v := range validations {
			v.check(t, text)
		}
	})
}

// All sections, and those that come from them by seeded changes, are taken as by the strict
// reading.
func TestValidationsFollowTheGrammar(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(58, 1))
	for range 20_000 {
		text := []byte(sections[random.IntN(len(sections))])
		for range random.IntN(4) {
			text = mutate(random, text)
		}
		for _, v := range validations {
			v.check(t, string(text))
		}
	}
}

// Whatever byte stands at whatever place, the validation follows the grammar and the parser ends the
// section where the validation does.
func TestEveryByteAtEveryPlace(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"response": "HTTP/1.1 200 OK\r\nAb: c\r\nContent-Length: 2\r\n\r\nok\r\n\r\n",
		"request":  "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok\r\n\r\n",
		"trailer":  "X-Sum: 1\r\nAb: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for i := range text {
			for c := range 256 {
				b := string([]byte{byte(c)})
				validations[name].check(t, text[:i]+b+text[i:])
				validations[name].check(t, text[:i]+b+text[i+1:])
			}
		}
	}
}

// mutate changes, inserts or removes a byte. Those that mean something in a head are likely.
func mutate(random *rand.Rand, text []byte) []byte {
	const likely = " \t\r\n:\x00\x7f\xff/0123456789AHTP"
	c := likely[random.IntN(len(likely))]
	if random.IntN(4) == 0 {
		c = byte(random.IntN(256))
	}
	if len(text) == 0 {
		return append(text, c)
	}
	i := random.IntN(len(text))
	switch random.IntN(3) {
	case 0:
		text[i] = c
		return text
	case 1:
		return append(text[:i], text[i+1:]...)
	}
	return append(text[:i], append([]byte{c}, text[i:]...)...)
}
