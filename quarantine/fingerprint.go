package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

//msgp:tuple Fingerprint

// sumSize is the size of a fingerprint's digest in bytes.
const sumSize = 16

// Fingerprint identifies the requests of one content.
type Fingerprint struct {
	// Head is a cheap hash of method, host and URI. It tells most requests from the
	// suspected ones without a digest of their bodies.
	Head uint64
	// Sum is a truncated SHA-256 of the whole content, since a caller must not be able to
	// make a request that shares the fingerprint of another one.
	Sum [sumSize]byte
}

// String returns the fingerprint in hexadecimal digits, as ParseFingerprint reads it.
func (f Fingerprint) String() string {
	b := binary.BigEndian.AppendUint64(nil, f.Head)
	return hex.EncodeToString(append(b, f.Sum[:]...))
}

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != 8+sumSize {
		return Fingerprint{}, fmt.Errorf("quarantine: %q is not a fingerprint: copy the %d digits that parsley status or a log line shows", s, 2*(8+sumSize))
	}
	return Fingerprint{Head: binary.BigEndian.Uint64(b), Sum: [sumSize]byte(b[8:])}, nil
}

// Content is the part of a request that repeats of it share.
type Content struct {
	Method []byte
	Host   []byte
	URI    []byte // path with query
	Caller []byte // what identifies the caller
	Body   []byte
}

// separator ends each part of a hashed content. Methods, hosts and URIs do not contain it.
var separator = []byte{0}

// Head returns the Head of the fingerprint.
func (c *Content) Head() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...][]byte{c.Method, c.Host, c.URI} {
		_, _ = d.Write(part) // never fails
		_, _ = d.Write(separator)
	}
	return d.Sum64()
}

// Fingerprint returns the fingerprint.
func (c *Content) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...][]byte{c.Method, c.Host, c.URI, c.Caller, c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(part)
	}
	return Fingerprint{Head: c.Head(), Sum: [sumSize]byte(h.Sum(nil))}
}

// Prefer returns the index of the name to which requests of this content are sent, by
// rendezvous hashing, or -1 if there is none: other names change it as rarely as possible.
func (f Fingerprint) Prefer(names []string) int {
	best, highest := -1, uint64(0)
	for i, name := range names {
		var d xxhash.Digest
		d.ResetWithSeed(f.Head)
		_, _ = d.Write(f.Sum[:]) // never fails
		_, _ = d.WriteString(name)
		if sum := d.Sum64(); best < 0 || sum > highest {
			best, highest = i, sum
		}
	}
	return best
}
