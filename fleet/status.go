package fleet

import "math"

//msgp:tuple Status Load statusExtension rateExtension evacuationExtension

// Load is the load of a target as measured by its daemon.
type Load struct {
	Running      int     `msg:"r"` // requests that the target runs
	Waiting      int     `msg:"w"` // requests that wait at the daemon
	Limit        int     `msg:"l"` // maximum of concurrent requests that the daemon sends it
	LatencyRatio float64 `msg:"p"` // mean latency of requests relative to their objectives
	OfferedRatio float64 `msg:"o"` // arriving work relative to the capacity of the slots
	FailureRatio float64 `msg:"f"` // fraction of requests that fail at the target

	// RateLimited is set if the target has stated a limit of requests a second, RateLimit.
	RateLimited bool    `msg:"-"`
	RateLimit   float64 `msg:"-"`
}

// Status is the message that a daemon sends to every other daemon at short
// intervals and after changes.
type Status struct {
	Seq             uint64 `msg:"q"` // incremented with each round of statuses
	Echo            uint64 `msg:"e"` // highest Seq received from the receiver
	EchoIncarnation uint64 `msg:"i"` // incarnation of the receiver that Echo belongs to
	LeaseExtension  bool   `msg:"p"` // lease extension: the sender proposes no change that takes shards from the receiver
	Stopping        bool   `msg:"s"` // the sender's process is about to stop, but not its target
	Config          uint64 `msg:"c"` // version of the sender's configuration
	Offset          int64  `msg:"o"` // end of the directory as the sender has read it
	Load            Load   `msg:"l"`
	Member          Member `msg:"m"` // a reference if the receiver has the full record
	// Suspects lists the daemons of the sender's service that the sender suspects.
	Suspects []string `msg:"u,limit=4096"`
	// IntervalMS is the time until the next status to the receiver, in milliseconds.
	IntervalMS uint32 `msg:"v"`
	// ConfigAgeMS is the time since Config was known to be the operator's newest
	// version, in milliseconds; UnknownAge if that is not known.
	ConfigAgeMS uint32 `msg:"-"`
	// ConfigHops is the number of daemons that have passed this age on.
	ConfigHops uint8 `msg:"-"`
	// EvacuatedZones are the zones that are evacuated by the operator's records before the
	// offset EvacuationOffset, which is 0 if the sender knows of no such record.
	EvacuatedZones   []string `msg:"-"`
	EvacuationOffset int64    `msg:"-"`
}

// UnknownAge is the age of a configuration that was not confirmed.
const UnknownAge = math.MaxUint32

// statusExtension follows the encoded Status. Daemons of earlier versions ignore it,
// while a further element of the tuple would make the status unreadable to them.
type statusExtension struct {
	ConfigAgeMS uint32 `msg:"a"`
	ConfigHops  uint8  `msg:"h"`
}

// rateExtension follows the statusExtension of a daemon whose target has a rate limit.
type rateExtension struct {
	RateLimit float64 `msg:"r"`
}

// evacuationExtension follows the other extensions of a daemon that knows of records about
// evacuated zones. It has another number of elements than the rateExtension, which may be
// missing.
type evacuationExtension struct {
	Offset int64    `msg:"o"`
	Zones  []string `msg:"z,limit=256"`
}

// maxSuspects is the largest number of suspected daemons in a status.
const maxSuspects = 4096

// Encode returns the encoded status. Suspects beyond maxSuspects are left out.
func (s *Status) Encode() []byte {
	if len(s.Suspects) > maxSuspects {
		short := *s
		short.Suspects = s.Suspects[:maxSuspects]
		s = &short
	}
	b, err := s.MarshalMsg(nil)
	if err == nil {
		b, err = (&statusExtension{ConfigAgeMS: s.ConfigAgeMS, ConfigHops: s.ConfigHops}).MarshalMsg(b)
	}
	if err == nil && s.Load.RateLimited {
		b, err = (&rateExtension{RateLimit: s.Load.RateLimit}).MarshalMsg(b)
	}
	if err == nil && s.EvacuationOffset > 0 {
		b, err = (&evacuationExtension{Offset: s.EvacuationOffset, Zones: s.EvacuatedZones}).MarshalMsg(b)
	}
	if err != nil {
		panic("fleet: cannot encode status: " + err.Error())
	}
	return b
}

// DecodeStatus decodes a status. Its errors are of type *MemberError.
func DecodeStatus(b []byte) (*Status, error) {
	s := &Status{ConfigAgeMS: UnknownAge}
	rest, err := s.UnmarshalMsg(b)
	if err != nil {
		return nil, &MemberError{Reason: err.Error()}
	}
	if !s.Member.isReference() {
		if err := s.Member.check(); err != nil {
			return nil, err
		}
	}
	var x statusExtension
	if rest, err = x.UnmarshalMsg(rest); err != nil { // of another version
		return s, nil
	}
	s.ConfigAgeMS, s.ConfigHops = x.ConfigAgeMS, x.ConfigHops
	var r rateExtension
	if after, err := r.UnmarshalMsg(rest); err == nil {
		rest = after
		if r.RateLimit >= 0 {
			s.Load.RateLimited, s.Load.RateLimit = true, r.RateLimit
		}
	}
	var e evacuationExtension
	if _, err := e.UnmarshalMsg(rest); err == nil && e.Offset > 0 {
		s.EvacuationOffset, s.EvacuatedZones = e.Offset, e.Zones
	}
	return s, nil
}
