package wire

import "fmt"

// VersionError reports that two daemons share no protocol version.
type VersionError struct {
	LocalMin, LocalMax uint16
	PeerMin, PeerMax   uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: peer supports protocol versions %d to %d, this daemon supports %d to %d; update the older daemon first",
		e.PeerMin, e.PeerMax, e.LocalMin, e.LocalMax)
}

// OversizeError reports a frame above the size limit.
type OversizeError struct {
	Size  uint64 // bytes
	Limit uint64 // bytes
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("wire: frame of %d bytes exceeds the limit of %d; send a smaller body or raise the limit on both sides", e.Size, e.Limit)
}

// HeaderCountError reports a message with more than MaxHeaders header fields.
type HeaderCountError struct {
	Count int
}

func (e *HeaderCountError) Error() string {
	return fmt.Sprintf("wire: message with %d header fields exceeds the limit of %d; send fewer", e.Count, MaxHeaders)
}

// TruncatedError reports a connection that closed in the middle of a frame.
type TruncatedError struct {
	Err error // cause
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("wire: connection closed in the middle of a frame: %v; the frame is discarded, reconnect", e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// MalformedError reports bytes that are not a valid frame, or a frame that violates
// the protocol.
type MalformedError struct {
	Detail string
	Err    error // cause; may be nil
}

func (e *MalformedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("wire: %s: %v; check that the peer is a parsleyd of a supported version", e.Detail, e.Err)
	}
	return fmt.Sprintf("wire: %s; check that the peer is a parsleyd of a supported version", e.Detail)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }
