// Package service defines the decoded configuration of a service, which daemons
// use at run time: how requests map to keys and hash ranges, how they are limited,
// and which of them may be retried.
package service

//msgp:tuple KeyRule Method Weights Spec

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// KeySource is the part of a request that holds its key.
type KeySource uint8

const (
	// KeyNone means that the service is not divided by key.
	KeyNone KeySource = 0
	// KeyPathSegment uses one segment of the path below /<name>/, counted from 0.
	KeyPathSegment KeySource = 1
	// KeyQuery uses the value of a query parameter.
	KeyQuery KeySource = 2
	// KeyHeader uses the value of a request header.
	KeyHeader KeySource = 3
)

// KeyRule defines how the key of a request is extracted.
type KeyRule struct {
	Source  KeySource `msg:"s"`
	Segment int       `msg:"g"` // with KeyPathSegment
	Name    string    `msg:"n"` // with KeyQuery and KeyHeader
}

// Method is one rule for requests of a service. The first rule whose method and
// path prefix match a request applies.
type Method struct {
	HTTPMethod string        `msg:"m"` // "*" matches every method
	PathPrefix string        `msg:"p"` // prefix of the path below /<name>, including the leading slash; "" matches every path
	Idempotent bool          `msg:"i"` // the request may be retried if the outcome of an attempt is unknown
	Priority   uint8         `msg:"q"` // requests with lower values are shed first under overload
	Timeout    time.Duration `msg:"t"`
}

// Weights are the relative weights of the goals of load balancing, each in [0, 1].
type Weights struct {
	Imbalance   float64 `msg:"i"` // of an uneven load of the targets
	Churn       float64 `msg:"c"` // of moving ranges
	Unavailable float64 `msg:"u"` // of the time for which moved ranges are unavailable
}

// Spec is the configuration of one service. Its requests have the path prefix
// /<name>/.
type Spec struct {
	Name       ident.Service `msg:"n"`
	Key        KeyRule       `msg:"k"`
	Ranges     int           `msg:"r"` // initial number of hash ranges of a service divided by key
	Methods    []Method      `msg:"m"`
	Fenced     bool          `msg:"f"` // targets check the fencing token of each request
	Weights    Weights       `msg:"w"`
	RetryRatio float64       `msg:"y"` // maximum ratio of retries to first attempts
	Slots      int           `msg:"s"` // maximum concurrent requests per target
	Conns      int           `msg:"c"` // maximum connections per target
	QueueLimit int           `msg:"q"` // maximum queued requests per target
	MaxMoves   int           `msg:"v"` // maximum range moves per minute for load balancing
}

// Divided reports whether the service is divided by key.
func (s *Spec) Divided() bool { return s.Key.Source != KeyNone }

// MethodFor returns the first rule that matches a request, or nil if none does.
// The path is the part below /<name> and starts with a slash.
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
