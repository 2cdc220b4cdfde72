// Package service defines the configuration of a service in the form that
// daemons act on: how its requests are keyed, divided, limited and repeated.
package service

//msgp:tuple KeyRule Method Weights Spec

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// KeySource says where the key of a request is found.
type KeySource uint8

const (
	// KeyNone means that the service is not divided by key.
	KeyNone KeySource = 0
	// KeyPathSegment takes one path segment, counted from 0.
	KeyPathSegment KeySource = 1
	// KeyQuery takes a query parameter.
	KeyQuery KeySource = 2
	// KeyHeader takes a request header.
	KeyHeader KeySource = 3
)

// KeyRule extracts the key of a request.
type KeyRule struct {
	Source  KeySource `msg:"s"`
	Segment int       `msg:"g"` // with KeyPathSegment
	Name    string    `msg:"n"` // with KeyQuery and KeyHeader
}

// Method is one rule for requests of a service: the first rule whose method
// and path prefix match a request applies.
type Method struct {
	HTTPMethod string        `msg:"m"` // "*" matches every method
	PathPrefix string        `msg:"p"` // of the path below /<name>, which starts with a slash; "" matches every path
	Idempotent bool          `msg:"i"` // the request may be repeated after an unknown outcome
	Priority   uint8         `msg:"q"` // lower values are shed first
	Timeout    time.Duration `msg:"t"`
}

// Weights trade the goals of balancing against each other; each is in [0, 1].
type Weights struct {
	Imbalance   float64 `msg:"i"`
	Churn       float64 `msg:"c"`
	Unavailable float64 `msg:"u"`
}

// Spec is the configuration of one service. Requests reach it under the path
// prefix /<name>/.
type Spec struct {
	Name       ident.Service `msg:"n"`
	Key        KeyRule       `msg:"k"`
	Ranges     int           `msg:"r"` // initial number of hash ranges of a service divided by key
	Methods    []Method      `msg:"m"`
	Fenced     bool          `msg:"f"` // targets check the fencing token of each request
	Weights    Weights       `msg:"w"`
	RetryRatio float64       `msg:"y"` // retries allowed per first attempt
	Slots      int           `msg:"s"` // concurrent requests of one target
	Conns      int           `msg:"c"` // connections of one target
	QueueLimit int           `msg:"q"` // requests that wait in front of one target
	MaxMoves   int           `msg:"v"` // range moves a minute for balancing
}

// Divided reports whether the service is divided by key.
func (s *Spec) Divided() bool { return s.Key.Source != KeyNone }

// MethodFor returns the rule for a request, or nil if none matches. The path
// is the part below /<name> and starts with a slash.
func (s *Spec) MethodFor(httpMethod, path string) *Method {
	for i := range s.Methods {
		m := &s.Methods[i]
		if m.HTTPMethod != "*" && m.HTTPMethod != httpMethod {
			continue
		}
		if len(path) >= len(m.PathPrefix) && path[:len(m.PathPrefix)] == m.PathPrefix {
			return m
		}
	}
	return nil
}
