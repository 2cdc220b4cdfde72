package routetable

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// Version is the version number of a configuration. A larger number is newer.
type Version uint64

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ident.Service]Service
	Limits   Limits
	// Unusable has the patterns of routes that could not be decoded.
	Unusable []Pattern
	// RowErrors has the errors of routes and services that could not be decoded.
	RowErrors []error
	// UnknownKinds has an error for each route whose kind is not known. Its requests are
	// not idempotent.
	UnknownKinds []error
}

// Pattern selects the requests of a route. Both fields are empty if they are not known.
type Pattern struct {
	Host       string
	PathPrefix string
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	// LargeResponses is set if responses are large compared with what a link carries
	// within Objective.
	LargeResponses bool
	Timeout        time.Duration
	Objective      time.Duration // target response time
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // largest number of targets that one request is sent to
	Clusters       []Cluster     // the weights are positive; none if the route could not be decoded
}

// Cluster is a service that receives a share of a route's requests, in
// proportion to its weight.
type Cluster struct {
	Service ident.Service
	Weight  float64
}

// Service is a group of targets.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int  // connections that one target accepts from all callers
	Keyed          bool // a target runs only requests whose keys it owns
	// ColdStart is how long a target is cold after its start, and ColdPerSecond how many
	// requests a second it tolerates during that time; 0 if there is no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits holds the size and time limits on requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
