package wire

import "fmt"

// VersionError reports that two daemons share no protocol version.
type VersionError struct {
	LocalMin, LocalMax uint16
	PeerMin, PeerMax   uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: peer speaks protocol versions %d to %d, this daemon %d to %d; update the older daemon first",
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

// TornError reports a connection that ended within a frame.
type TornError struct {
	Err error // cause
}

func (e *TornError) Error() string {
	return fmt.Sprintf("wire: connection ended within a frame: %v; the frame is discarded, reconnect", e.Err)
}

// Unwrap returns the cause.
func (e *TornError) Unwrap() error { return e.Err }

// GarbageError reports bytes that are no valid frame.
type GarbageError struct {
	What string
	Err  error // cause; may be nil
}

func (e *GarbageError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("wire: %s: %v; check that the peer is a parsleyd of a supported version", e.What, e.Err)
	}
	return fmt.Sprintf("wire: %s; check that the peer is a parsleyd of a supported version", e.What)
}

// Unwrap returns the cause.
func (e *GarbageError) Unwrap() error { return e.Err }
