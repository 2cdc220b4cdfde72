package routetable

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// Version numbers configurations. A larger one is newer.
type Version uint64

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ident.Service]Service
	Limits   Limits
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Idempotent  bool   // requests may run more than once
	Timeout     time.Duration
	Objective   time.Duration // latency within which an answer has its full worth
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // targets to which one request may be sent
	Clusters    []Cluster     // at least one; the weights are positive
}

// Cluster is a service that takes a share of a route's requests.
type Cluster struct {
	Service ident.Service
	Weight  int
}

// Service is a group of targets.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int  // that one target accepts from all callers
	Keyed          bool // a target runs only requests of keys that it holds
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
