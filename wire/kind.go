package wire

import "fmt"

// Kind is the type of a frame.
type Kind uint8

const (
	// KindHello opens a connection; its body is a Hello.
	KindHello Kind = 1
	// KindRequest carries a Request, which is answered by one Response.
	KindRequest Kind = 2
	// KindResponse carries the Response to the request with the same id.
	KindResponse Kind = 3
	// KindCancel means that the sender no longer waits for the Response to the
	// request with the same id. It has no body.
	KindCancel Kind = 4
	// KindCellMessage carries an encoded message of package cell. It is not
	// answered.
	KindCellMessage Kind = 5
	// KindCall carries a Call, which is answered by one Reply.
	KindCall Kind = 6
	// KindReply carries the Reply to the call with the same id.
	KindReply Kind = 7
	// KindGoaway means that the sender accepts no new requests on this
	// connection. Responses to earlier requests still follow. It has no body.
	KindGoaway Kind = 8
)

var kindNames = [...]string{"invalid", "hello", "request", "response", "cancel", "cell-message", "call", "reply", "goaway"}

func (k Kind) valid() bool { return k >= KindHello && k <= KindGoaway }

// String returns the name of the kind.
func (k Kind) String() string {
	if k.valid() {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}
