package wire

//msgp:tuple Hello

import "github.com/parsleystack/parsleystack/ident"

const (
	// Magic is the first field of every Hello.
	Magic = "parsley"
	// MinVersion is the oldest protocol version that this package supports.
	MinVersion = 1
	// MaxVersion is the newest protocol version that this package supports.
	MaxVersion = 1
)

// Hello is the first frame in each direction of a connection.
type Hello struct {
	Magic      string        `msg:"m,limit=16"`
	MinVersion uint16        `msg:"a"`
	MaxVersion uint16        `msg:"b"`
	Service    ident.Service `msg:"s"` // service of the sender's target
	Node       ident.Node    `msg:"n"`
	Zone       ident.Zone    `msg:"z"`
	Class      uint8         `msg:"c"` // traffic class of the connection, set by the side that dialed it
}

// NewHello returns a Hello with the protocol versions of this package.
func NewHello(svc ident.Service, node ident.Node, zone ident.Zone) Hello {
	return Hello{Magic: Magic, MinVersion: MinVersion, MaxVersion: MaxVersion, Service: svc, Node: node, Zone: zone}
}

// Negotiate returns the newest protocol version that both sides support. It
// returns a MalformedError for a Hello without the magic and a VersionError if
// there is no common version.
func Negotiate(local, peer *Hello) (uint16, error) {
	if peer.Magic != Magic {
		return 0, &MalformedError{Detail: "hello frame has the wrong magic string"}
	}
	low := max(local.MinVersion, peer.MinVersion)
	high := min(local.MaxVersion, peer.MaxVersion)
	if low > high {
		return 0, &VersionError{LocalMin: local.MinVersion, LocalMax: local.MaxVersion, PeerMin: peer.MinVersion, PeerMax: peer.MaxVersion}
	}
	return high, nil
}
