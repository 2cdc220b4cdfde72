package wire

const (
	// DefaultMaxFrame is the largest frame accepted by default, in bytes.
	DefaultMaxFrame = 9 << 20
	// MaxHello is the largest Hello frame, in bytes. It bounds what a peer can
	// make the receiver hold before it has named itself.
	MaxHello = 1 << 10
	// MaxHeaders is the largest number of header fields in a message.
	MaxHeaders = 128
)

const (
	lengthSize = 4
	kindSize   = 1
	idSize     = 8
	prefixSize = lengthSize + kindSize + idSize
	minLength  = kindSize + idSize
)
