package fleet

//msgp:tuple Member

import "fmt"

// TargetState says whether a target takes work.
type TargetState uint8

const (
	// TargetUnknown is the state before a first heartbeat.
	TargetUnknown TargetState = 0
	// TargetReady takes work.
	TargetReady TargetState = 1
	// TargetLeaving takes no new work.
	TargetLeaving TargetState = 2
	// TargetEnded runs nothing and holds no keys any more.
	TargetEnded TargetState = 3
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
	}
	return "invalid"
}

// Member is what a daemon records of itself and of the target beside it.
type Member struct {
	Schema      uint        `msg:"v"`
	Instance    string      `msg:"i"`
	Incarnation uint64      `msg:"n"` // grows with each process of the instance
	Revision    uint64      `msg:"r"` // grows with each change by one process
	Addr        string      `msg:"a"` // of its link
	Zone        string      `msg:"z"`
	JoinedMS    int64       `msg:"j"` // Unix milliseconds of the instance's first record
	Service     string      `msg:"s"`
	TargetID    string      `msg:"t"`
	TargetBorn  int64       `msg:"b"` // Unix milliseconds
	State       TargetState `msg:"e"`
	Slots       int         `msg:"l"`
	Gone        bool        `msg:"g"` // the instance is taken away
}

// memberSchema is the version of Member.
const memberSchema = 1

// Newer reports whether m supersedes other.
func (m *Member) Newer(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Revision > other.Revision
}

// Brief returns what names m to a daemon that has the whole of it.
func (m *Member) Brief() Member {
	return Member{Instance: m.Instance, Incarnation: m.Incarnation, Revision: m.Revision}
}

// isBrief reports whether m only names a record.
func (m *Member) isBrief() bool { return m.Addr == "" }

// Encode returns the record of m.
func (m Member) Encode() []byte {
	m.Schema = memberSchema
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic("fleet: a member can always be encoded: " + err.Error())
	}
	return b
}

// MemberError reports a record that is no member of this version.
type MemberError struct {
	Reason string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("fleet: member record: %s; it is ignored, check which program wrote it", e.Reason)
}

// DecodeMember decodes a record.
func DecodeMember(b []byte) (*Member, error) {
	m := new(Member)
	if _, err := m.UnmarshalMsg(b); err != nil {
		return nil, &MemberError{Reason: err.Error()}
	}
	switch {
	case m.Schema != memberSchema:
		return nil, &MemberError{Reason: fmt.Sprintf("schema %d is unknown", m.Schema)}
	case m.Instance == "" || m.Addr == "":
		return nil, &MemberError{Reason: "it lacks the instance or the address"}
	}
	return m, nil
}
