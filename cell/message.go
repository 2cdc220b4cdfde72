package cell

// Message is a message between members of a cell. A Message is a tagged union:
// exactly one of its fields is set. The zero Message is invalid.
type Message struct {
	Renew          *Renew
	Lease          *Lease
	LeaderNotice   *LeaderNotice
	Heartbeat      *Heartbeat
	LeaseExtension *LeaseExtension
	Handover       *Handover
	Prepare        *Prepare
	PrepareDone    *PrepareDone
	Release        *Release
	ReleaseDone    *ReleaseDone
}

// MessageKind identifies the type of a message on the wire.
type MessageKind uint8

// The kinds of messages.
const (
	KindRenew          MessageKind = 1
	KindLease          MessageKind = 2
	KindLeaderNotice   MessageKind = 3
	KindHeartbeat      MessageKind = 4
	KindLeaseExtension MessageKind = 5
	KindHandover       MessageKind = 6
	KindPrepare        MessageKind = 7
	KindPrepareDone    MessageKind = 8
	KindRelease        MessageKind = 9
	KindReleaseDone    MessageKind = 10
)

// body is a message or record body that can be encoded.
type body interface {
	MarshalMsg([]byte) ([]byte, error)
	UnmarshalMsg([]byte) ([]byte, error)
}

// Kind returns the kind of the field that is set, or 0.
func (m Message) Kind() MessageKind {
	kind, _ := m.body()
	return kind
}

func (m Message) body() (MessageKind, body) {
	switch {
	case m.Renew != nil:
		return KindRenew, m.Renew
	case m.Lease != nil:
		return KindLease, m.Lease
	case m.LeaderNotice != nil:
		return KindLeaderNotice, m.LeaderNotice
	case m.Heartbeat != nil:
		return KindHeartbeat, m.Heartbeat
	case m.LeaseExtension != nil:
		return KindLeaseExtension, m.LeaseExtension
	case m.Handover != nil:
		return KindHandover, m.Handover
	case m.Prepare != nil:
		return KindPrepare, m.Prepare
	case m.PrepareDone != nil:
		return KindPrepareDone, m.PrepareDone
	case m.Release != nil:
		return KindRelease, m.Release
	case m.ReleaseDone != nil:
		return KindReleaseDone, m.ReleaseDone
	}
	return 0, nil
}

// newMessage returns a message of the kind with an empty body, and that body.
func newMessage(kind MessageKind) (Message, body) {
	var m Message
	switch kind {
	case KindRenew:
		m.Renew = new(Renew)
	case KindLease:
		m.Lease = new(Lease)
	case KindLeaderNotice:
		m.LeaderNotice = new(LeaderNotice)
	case KindHeartbeat:
		m.Heartbeat = new(Heartbeat)
	case KindLeaseExtension:
		m.LeaseExtension = new(LeaseExtension)
	case KindHandover:
		m.Handover = new(Handover)
	case KindPrepare:
		m.Prepare = new(Prepare)
	case KindPrepareDone:
		m.PrepareDone = new(PrepareDone)
	case KindRelease:
		m.Release = new(Release)
	case KindReleaseDone:
		m.ReleaseDone = new(ReleaseDone)
	}
	_, b := m.body()
	return m, b
}
