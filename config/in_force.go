package config

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// InForce is the configuration that a daemon acts on. It is immutable.
type InForce struct {
	// Offset is the last record of the stream that the configuration contains.
	Offset platformlog.Offset
	// Ready is set once the end of the stream was reached. Before that, no
	// request may be served.
	Ready    bool
	services map[ident.Service]*Service
	snapshot *Snapshot
	recent   []RawRecord // the newest records up to Offset, without gaps
}

// Service is the configuration of one service that is in force.
type Service struct {
	Spec    *service.Spec
	Version platformlog.Offset // offset of the change that put it into force
	Time    time.Time          // append time of the change
	Author  string
	// Blocked says why the content of Version is not in force; Spec is then
	// the last content that was understood.
	Blocked error
}

// Service returns the configuration of a service. It returns nil if the
// service was never published, is retired, or was never published in a form
// that this version understands.
func (f *InForce) Service(name ident.Service) *Service { return f.services[name] }

// Services returns the names of the services in force, sorted.
func (f *InForce) Services() []ident.Service { return slices.Sorted(maps.Keys(f.services)) }

// Entry returns the newest accepted change of a service, or nil. Unlike
// Service it also knows retired services.
func (f *InForce) Entry(name ident.Service) *Entry {
	for i := range f.snapshot.Entries {
		if f.snapshot.Entries[i].Service == name {
			return &f.snapshot.Entries[i]
		}
	}
	return nil
}

// Blocked returns an error for each service whose newest accepted change is not
// in force since this version does not understand its content.
func (f *InForce) Blocked() []error {
	var errs []error
	for i := range f.snapshot.Entries {
		if _, err := f.snapshot.Entries[i].decodeBody(Schema); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Answer returns what a peer that asks with p lacks.
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

// newInForce returns the configuration of a state. It reuses the services of
// the previous configuration that have not changed.
func newInForce(st *State, ready bool, recent []RawRecord, previous *InForce) *InForce {
	f := &InForce{
		Offset:   st.covered,
		Ready:    ready,
		services: make(map[ident.Service]*Service, len(st.entries)),
		snapshot: st.Snapshot(),
		recent:   recent,
	}
	for name, e := range st.entries {
		if svc := inForceService(e, st.knownSchema(), previous); svc != nil {
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
