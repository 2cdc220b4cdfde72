package fleet

//msgp:tuple Member

import (
	"fmt"
	"math"
	"net/netip"
)

// TargetState is the state of a target.
type TargetState uint8

const (
	// TargetUnknown means that no heartbeat has been received yet.
	TargetUnknown TargetState = 0
	// TargetReady means that the target accepts requests.
	TargetReady TargetState = 1
	// TargetLeaving means that the target has announced its departure, which is final. It
	// accepts no new requests. Daemons of earlier versions report it of a silent target, too.
	TargetLeaving TargetState = 2
	// TargetEnded is what daemons of earlier versions report of a target that has refused
	// a connection. It does not prove that the target has released its keys.
	TargetEnded TargetState = 3
	// TargetUnreachable means that the target refused a connection while none was open. It
	// gets no requests until its next heartbeat, and keeps its keys: it may have ended, or
	// accept no further connections while it works on earlier requests.
	TargetUnreachable TargetState = 4
	// TargetSilent means that the target has sent no heartbeat for a time. Its keys are
	// revoked; its next heartbeat makes it ready.
	TargetSilent TargetState = 5
)

// String returns the name of the state.
func (s TargetState) String() string {
	switch s {
	case TargetUnknown:
		return "unknown"
	case TargetReady:
		return "ready"
	case TargetLeaving:
		return "leaving"
	case TargetEnded:
		return "ended"
	case TargetUnreachable:
		return "unreachable"
	case TargetSilent:
		return "silent"
	}
	return "invalid"
}

// Serving reports whether the target is a member of its service that is not known to leave.
// It keeps its keys.
func (s TargetState) Serving() bool { return s == TargetReady || s == TargetUnreachable }

// Member is a daemon's record of itself and of the target beside it.
type Member struct {
	Schema        uint        `msg:"v"`
	Instance      string      `msg:"i"`
	Incarnation   uint64      `msg:"n"` // higher for each later process of the instance
	Revision      uint64      `msg:"r"` // incremented at each change by one process
	Addr          string      `msg:"a"` // address of its link
	Zone          string      `msg:"z"`
	JoinedMS      int64       `msg:"j"` // Unix milliseconds of the instance's first record
	Service       string      `msg:"s"`
	TargetID      string      `msg:"t"`
	TargetStartMS int64       `msg:"b"` // Unix milliseconds
	State         TargetState `msg:"e"`
	Slots         int         `msg:"l"`
	Removed       bool        `msg:"g"` // the instance has been removed from the fleet
}

// memberSchema is the version of the encoding of Member.
const memberSchema = 1

// Newer reports whether m supersedes other, a record of the same instance.
func (m *Member) Newer(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Revision > other.Revision
}

// Reference returns a reference to m: a Member with only the instance, incarnation
// and revision. It is sent to a daemon that already has the full record.
func (m *Member) Reference() Member {
	return Member{Instance: m.Instance, Incarnation: m.Incarnation, Revision: m.Revision}
}

// isReference reports whether m is a reference instead of a full record.
func (m *Member) isReference() bool { return m.Addr == "" }

// Encode returns the encoded record.
func (m Member) Encode() []byte {
	m.Schema = memberSchema
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic("fleet: cannot encode member record: " + err.Error())
	}
	return b
}

// MemberError reports a record that is not a valid member of this schema
// version, or a status that can't be decoded.
type MemberError struct {
	Reason string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("fleet: member record: %s; it is ignored, check which program wrote it", e.Reason)
}

// DecodeMember decodes a member record. Its errors are of type *MemberError.
func DecodeMember(b []byte) (*Member, error) {
	m := new(Member)
	if _, err := m.UnmarshalMsg(b); err != nil {
		return nil, &MemberError{Reason: err.Error()}
	}
	switch {
	case m.Schema != memberSchema:
		return nil, &MemberError{Reason: fmt.Sprintf("schema %d is unknown", m.Schema)}
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

// maxSlots is the largest number of slots in a record.
const maxSlots = 1 << 20

// check returns a *MemberError if a field is out of its range.
func (m *Member) check() error {
	_, err := netip.ParseAddrPort(m.Addr)
	switch {
	case m.Instance == "" || m.Addr == "":
		return &MemberError{Reason: "it lacks the instance or the address"}
	case err != nil:
		return &MemberError{Reason: "address: " + err.Error()}
	case m.Incarnation > math.MaxInt64 || m.Revision > math.MaxInt64:
		return &MemberError{Reason: "its incarnation or revision leaves no room for a later one"}
	case m.Slots < 0 || m.Slots > maxSlots || m.TargetStartMS < 0 || m.JoinedMS < 0:
		return &MemberError{Reason: "a number is out of its range"}
	}
	return nil
}
