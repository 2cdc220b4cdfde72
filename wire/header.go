package wire

//msgp:tuple Header

// Header is one HTTP header field. After decoding, Name and Value refer to the
// frame's buffer.
type Header struct {
	Name  []byte `msg:"n,zerocopy"`
	Value []byte `msg:"v,zerocopy"`
}
