package keyspace

import (
	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/ident"
)

// serviceSeparator separates the service name from the key in the hash input;
// service names never contain it.
const serviceSeparator = 0

// shortInput is the size in bytes up to which an input is hashed in one call.
const shortInput = 128

// Hash returns the position of key in the hash space of service. It does not
// allocate.
func Hash(svc ident.Service, key []byte) Point {
	var short [shortInput]byte
	if len(svc)+1+len(key) > len(short) {
		return hashLong(svc, key)
	}
	n := copy(short[:], svc)
	short[n] = serviceSeparator
	n += 1 + copy(short[n+1:], key)
	return Point(xxhash.Sum64(short[:n]))
}

func hashLong(svc ident.Service, key []byte) Point {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(svc))
	_, _ = d.Write([]byte{serviceSeparator})
	_, _ = d.Write(key)
	return Point(d.Sum64())
}
