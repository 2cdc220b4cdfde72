package config

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// InForce is the configuration of all services that is in force in a daemon. It
// is immutable.
type InForce struct {
	// Offset is the offset of the last record that the configuration includes.
	Offset platformlog.Offset
	// Ready is set once the end of the stream has been reached. Until then, the
	// daemon must not serve requests.
	Ready    bool
	services map[ident.Service]*Service
	snapshot *Snapshot
	recent   []RawRecord // the newest records up to Offset, with consecutive offsets
}

// Service is the configuration of one service that is in force.
type Service struct {
	Spec    *service.Spec
	Version platformlog.Offset // offset of the newest accepted change
	Time    time.Time          // append time of the change
	Author  string
	// Blocked is the reason why the body of Version is not in force, nil if it
	// is. If set, Spec is the last configuration that could be decoded.
	Blocked error
}

// Service returns the configuration of a service. It returns nil if the service
// is retired, was never published, or was never published with a schema that
// this release supports.
func (f *InForce) Service(name ident.Service) *Service { return f.services[name] }

// Services returns the names of the services in force, sorted.
func (f *InForce) Services() []ident.Service { return slices.Sorted(maps.Keys(f.services)) }

// Entry returns the newest accepted change of a service, or nil. Unlike
// Service, it also covers retired services.
func (f *InForce) Entry(name ident.Service) *Entry {
	for i := range f.snapshot.Entries {
		if f.snapshot.Entries[i].Service == name {
			return &f.snapshot.Entries[i]
		}
	}
	return nil
}

// Blocked returns an error for each service whose newest accepted change is not
// in force because this release can't decode its body.
func (f *InForce) Blocked() []error {
	var errs []error
	for i := range f.snapshot.Entries {
		if _, err := f.snapshot.Entries[i].decodeBody(Schema); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Answer returns the answer to a pull: the records from p.From on if they are
// still in memory, otherwise the whole state.
func (f *InForce) Answer(p Pull) *PullAnswer {
	a := &PullAnswer{Ready: f.Ready}
	if p.From > f.Offset {
		return a
	}
	if len(f.recent) > 0 && f.recent[0].Offset <= p.From {
		a.Records = f.recent[p.From-f.recent[0].Offset:]
		return a
	}
	a.State = f.snapshot
	return a
}

// newInForce builds the configuration from a state. It reuses the unchanged
// services of the previous configuration, which may be nil.
func newInForce(st *State, ready bool, recent []RawRecord, previous *InForce) *InForce {
	f := &InForce{
		Offset:   st.covered,
		Ready:    ready,
		services: make(map[ident.Service]*Service, len(st.entries)),
		snapshot: st.Snapshot(),
		recent:   recent,
	}
	for name, e := range st.entries {
		if svc := inForceService(e, st.supportedSchema(), previous); svc != nil {
			f.services[name] = svc
		}
	}
	return f
}

func inForceService(e *Entry, schema int, previous *InForce) *Service {
	if previous != nil {
		if old := previous.services[e.Service]; old != nil && old.Version == e.Version {
			return old
		}
	}
	spec, err := e.spec(schema)
	if spec == nil {
		return nil
	}
	return &Service{
		Spec:    spec,
		Version: e.Version,
		Time:    time.Unix(0, e.Time),
		Author:  e.Author,
		Blocked: err,
	}
}
