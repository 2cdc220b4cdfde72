package target

import "hash/maphash"

// maxSentIDs is the number of requests after which a connection is not used again, which
// bounds the memory of sentIDs to some 100 KB.
const maxSentIDs = 4096

var idSeed = maphash.MakeSeed()

// hashID returns the hash by which sentIDs identifies a request. Requests with the same hash
// only use different connections.
func hashID(id []byte) uint64 { return maphash.Bytes(idSeed, id) }

// sentIDs is the set of the requests that were sent on one connection. A target may send a
// copy of an earlier response late, when the next response is expected; only the request's
// ID tells the two apart, so each ID is sent once at most.
type sentIDs map[uint64]struct{}

func (s sentIDs) contains(hash uint64) bool {
	_, ok := s[hash]
	return ok
}

// full reports whether no further request may be sent.
func (s sentIDs) full() bool { return len(s) >= maxSentIDs }
