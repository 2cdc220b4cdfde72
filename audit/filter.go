package audit

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Filter selects entries. Empty fields match all entries.
type Filter struct {
	Service ident.Service
	// Key selects the entries of ranges that contain the key, and the changes
	// of the configuration of its service. It requires Service.
	Key   string
	Since time.Time // inclusive
	Until time.Time // exclusive
	Kinds []Kind
}

// Match reports whether the filter selects e.
func (f *Filter) Match(e *Entry) bool {
	switch {
	case f.Service != "" && e.Service != f.Service:
		return false
	case !f.Since.IsZero() && e.Time.Before(f.Since):
		return false
	case !f.Until.IsZero() && !e.Time.Before(f.Until):
		return false
	}
	return f.matchKind(e) && f.matchKey(e)
}

func (f *Filter) matchKind(e *Entry) bool {
	if len(f.Kinds) == 0 {
		return true
	}
	for _, k := range f.Kinds {
		if k == e.Kind {
			return true
		}
	}
	return false
}

func (f *Filter) matchKey(e *Entry) bool {
	switch {
	case f.Key == "":
		return true
	case e.Range == nil:
		return e.isConfig()
	}
	return e.Range.At.Contains(keyspace.Hash(f.Service, []byte(f.Key)))
}

func (e *Entry) isConfig() bool {
	switch e.Kind {
	case ConfigAccepted, ConfigRejected, ConfigRecorded:
		return true
	}
	return false
}
