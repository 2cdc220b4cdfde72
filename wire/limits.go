package wire

const (
	// DefaultMaxFrame is the largest frame accepted by default, in bytes.
	DefaultMaxFrame = 9 << 20
	// MaxHello is the largest Hello frame, in bytes. It bounds the memory that a
	// peer can make the receiver allocate before it has identified itself.
	MaxHello = 1 << 10
	// MaxHeaders is the maximum number of header fields in a message. More do not fit in
	// the largest head that a daemon reads, 32 KiB with at least 4 bytes a field.
	MaxHeaders = 8192
	// maxKeptHeaders is the largest number of header fields whose memory Reset keeps.
	maxKeptHeaders = 256
)

// Sizes of the parts of a frame's prefix, in bytes.
const (
	lengthSize = 4
	kindSize   = 1
	idSize     = 8
	prefixSize = lengthSize + kindSize + idSize
	minLength  = kindSize + idSize // value of the length field of a frame without a body
)
