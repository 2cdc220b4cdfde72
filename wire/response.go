package wire

//msgp:tuple Hint Response
//msgp:replace outcome.Kind with:uint8
//msgp:replace outcome.Reason with:uint8

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/outcome"
)

// Hint is the owner of a range as recorded by the daemon that refused a request.
// The zero Hint means that no owner is known.
type Hint struct {
	Range keyspace.Range `msg:"r"`
	Owner ident.Node     `msg:"o"`
	Addr  string         `msg:"a"`
	Zone  ident.Zone     `msg:"z"`
	Token cell.Token     `msg:"t"`
}

// IsZero reports whether h holds no owner.
func (h *Hint) IsZero() bool { return h.Addr == "" }

// Response is the outcome of a Request. Status, Headers and Body are set if
// and only if Kind is outcome.Done. After decoding, byte slices refer to the
// frame's buffer and are valid until Release.
type Response struct {
	Kind       outcome.Kind   `msg:"k"`
	Reason     outcome.Reason `msg:"e"`
	RetryAfter time.Duration  `msg:"a"`
	InFlight   uint32         `msg:"f"` // requests queued or running at the responding daemon
	Capacity   uint32         `msg:"c"` // maximum number of requests that it runs concurrently
	Hint       Hint           `msg:"t"`
	Status     uint16         `msg:"s"`
	Headers    []Header       `msg:"h,limit=8192"`
	Body       []byte         `msg:"b,zerocopy"`

	// BodyKept is set by the sender if the memory of Body is not changed or reused before
	// the function of OnRelease is called, so that Body may be sent without a copy. It is
	// not sent.
	BodyKept bool `msg:"-"`

	frame   Frame
	release func()
}

// detach implements Detachable.
func (r *Response) detach() (msgp.Marshaler, []byte) {
	head := *r
	head.Body = nil
	return &head, r.Body
}

// Result returns the outcome without status, headers and body.
func (r *Response) Result() outcome.Result {
	return outcome.Result{Kind: r.Kind, Reason: r.Reason, RetryAfter: r.RetryAfter}
}

// Attach records the frame that r was decoded from, so that Release releases it.
func (r *Response) Attach(f Frame) { r.frame = f }

// OnRelease sets a function that the next Release calls once, for a response whose
// Body refers to memory other than a frame.
func (r *Response) OnRelease(release func()) { r.release = release }

// Release returns the memory that r refers to for reuse; Body and Headers must not
// be used afterwards.
func (r *Response) Release() {
	r.frame.Release()
	if r.release != nil {
		r.release()
		r.release = nil
	}
	r.Body = nil
	r.Headers = r.Headers[:0]
}

// Keep returns what Release would do, to be called once Body is no longer used. Release has
// no effect on the body any more.
func (r *Response) Keep() (release func()) {
	kept := Response{frame: r.frame, release: r.release}
	r.frame, r.release = Frame{}, nil
	return kept.Release
}

// checkBounds implements bounded.
func (r *Response) checkBounds() error { return checkHeaderCount(r.Headers) }

// Reset clears r for reuse and keeps its header slice, unless it is large.
func (r *Response) Reset() { *r = Response{Headers: reusableHeaders(r.Headers)} }
