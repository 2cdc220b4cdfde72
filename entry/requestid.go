package entry

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/ident"
)

const hexDigits = "0123456789abcdef"

// requestIDs generates request IDs: a hash of the node (instance and incarnation)
// and a counter, so that no other process or earlier request has the same ID.
type requestIDs struct {
	prefix [17]byte
	next   *atomic.Uint64
}

func newRequestIDs(self ident.Node) requestIDs {
	ids := requestIDs{next: new(atomic.Uint64)}
	putHex(ids.prefix[:0], xxhash.Sum64String(self.String()))
	ids.prefix[16] = '-'
	return ids
}

// append appends a new request ID to dst.
func (r *requestIDs) append(dst []byte) []byte {
	dst = append(dst, r.prefix[:]...)
	return putHex(dst, r.next.Add(1))
}

func putHex(dst []byte, v uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, hexDigits[v>>shift&0xf])
	}
	return dst
}
