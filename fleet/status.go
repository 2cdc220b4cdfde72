package fleet

//msgp:tuple Status Load

// Load is how busy a target is, as its daemon counts it.
type Load struct {
	Running int     `msg:"r"`
	Waiting int     `msg:"w"`
	Limit   int     `msg:"l"` // requests that the daemon lets it run at once
	Pace    float64 `msg:"p"` // mean time of requests as a share of their objectives
	Offered float64 `msg:"o"` // work that arrives, as a share of what the slots can run
	Failing float64 `msg:"f"` // share of requests that fail at the target
}

// Status is sent to every other daemon at short intervals and at changes.
type Status struct {
	Seq     uint64 `msg:"q"`
	Echo    uint64 `msg:"e"` // newest Seq received from the receiver
	EchoOf  uint64 `msg:"i"` // incarnation of the receiver that sent Echo
	Promise bool   `msg:"p"` // the sender proposes nothing that takes rows from the receiver
	Stop    bool   `msg:"s"` // the sender's process is about to stop, its target is not
	Config  uint64 `msg:"c"` // version of the configuration that the sender has
	Offset  int64  `msg:"o"` // end of the directory as the sender has read it
	Load    Load   `msg:"l"`
	Member  Member `msg:"m"` // brief if the receiver has it
	// Quiet names daemons of the sender's service that it does not hear.
	Quiet []string `msg:"u,limit=4096"`
	// EveryMS is the time until the next status to the receiver, in milliseconds.
	EveryMS uint32 `msg:"v"`
}

// Encode returns the message of s.
func (s *Status) Encode() []byte {
	b, err := s.MarshalMsg(nil)
	if err != nil {
		panic("fleet: a status can always be encoded: " + err.Error())
	}
	return b
}

// DecodeStatus decodes a message.
func DecodeStatus(b []byte) (*Status, error) {
	s := new(Status)
	if _, err := s.UnmarshalMsg(b); err != nil {
		return nil, &MemberError{Reason: err.Error()}
	}
	return s, nil
}
