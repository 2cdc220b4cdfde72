package wire

// bounded is a message with bounds that its receiver checks besides the size of the frame.
// The sender checks them first, so that a message of one caller or target is never found to
// be malformed by the peer.
type bounded interface {
	checkBounds() error
}

func checkHeaderCount(headers []Header) error {
	if len(headers) > MaxHeaders {
		return &HeaderCountError{Count: len(headers)}
	}
	return nil
}

// reusableHeaders returns headers without its elements, or nil if they took much memory.
func reusableHeaders(headers []Header) []Header {
	if cap(headers) > maxKeptHeaders {
		return nil
	}
	return headers[:0]
}
