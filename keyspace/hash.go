package keyspace

import (
	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/ident"
)

// serviceSeparator keeps the service name and the key apart in the hashed
// bytes; service names never contain it.
const serviceSeparator = 0

// Hash returns the position of key in the hash space of service. It does not
// allocate.
func Hash(svc ident.Service, key []byte) Point {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(svc))
	_, _ = d.Write([]byte{serviceSeparator})
	_, _ = d.Write(key)
	return Point(d.Sum64())
}
