package wire

//msgp:tuple Request
//msgp:replace platformlog.Offset with:uint64

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Request is a caller's request that an entry daemon sends to the owner's daemon.
// After decoding, byte slices refer to the frame's buffer and are valid until the
// frame is released.
type Request struct {
	Service        ident.Service      `msg:"s"`
	Keyed          bool               `msg:"k"` // the receiver must own Point; otherwise any daemon of the service may run the request
	Point          keyspace.Point     `msg:"p"`
	Token          cell.Token         `msg:"t"` // fencing token that the sender routed by; zero if unknown
	ConfigOffset   platformlog.Offset `msg:"o"` // offset of the configuration that the sender uses
	Timeout        time.Duration      `msg:"d"` // time to the deadline when the frame was written
	Objective      time.Duration      `msg:"j"` // time left of the latency objective when the frame was written; 0 if there is none
	Priority       uint8              `msg:"q"`
	Idempotent     bool               `msg:"i"`
	Repeat         bool               `msg:"e"` // the caller states that it sent the request before
	Method         []byte             `msg:"m,zerocopy"`
	URI            []byte             `msg:"u,zerocopy"` // path and query below the service's prefix
	RequestID      []byte             `msg:"r,zerocopy"`
	IdempotencyKey []byte             `msg:"y,zerocopy"`
	Class          []byte             `msg:"c,zerocopy"` // class of requests with similar service times
	Caller         ident.Service      `msg:"l"`          // service of the instance where the request originated
	Headers        []Header           `msg:"h,limit=8192"`
	Body           []byte             `msg:"b,zerocopy"`

	// LargeResponse is set by the sender if the response is expected to be large. It is
	// not sent; it selects the connection.
	LargeResponse bool `msg:"-"`
	// ResponseBytes is the expected size of the response, for which the sender takes memory
	// before it sends the request. It is not sent.
	ResponseBytes int `msg:"-"`
	// BodyKept is set by the sender if it never changes or reuses the memory of Body, even
	// after the request has ended, so that Body may be sent without a copy. It is not sent.
	BodyKept bool `msg:"-"`
}

// detach implements Detachable.
func (r *Request) detach() (msgp.Marshaler, []byte) {
	head := *r
	head.Body = nil
	return &head, r.Body
}

// checkBounds implements bounded.
func (r *Request) checkBounds() error { return checkHeaderCount(r.Headers) }

// Reset clears r for reuse and keeps its header slice, unless it is large.
func (r *Request) Reset() { *r = Request{Headers: reusableHeaders(r.Headers)} }
