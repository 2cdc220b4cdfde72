// Package servicefile reads the YAML file that configures a service, which
// operators keep next to the service's code, and converts it to a service.Spec. A
// file with an unknown field or a value out of range is rejected as a whole. Every
// error contains the file, the line, the field and a remedy.
package servicefile

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// File is the content of a service file.
type File struct {
	Service ident.Service `yaml:"service"`
	// Key defines where the key of a request is found. If it is nil, the
	// service is not divided by key.
	Key *Key `yaml:"key"`
	// Ranges is the initial number of hash ranges of a service divided by key.
	Ranges  int     `yaml:"ranges"`
	Targets Targets `yaml:"targets"`
	// QueueLimit is the maximum number of queued requests per target.
	QueueLimit int `yaml:"queue_limit"`
	// RetryRatio is the maximum ratio of retries to first attempts.
	RetryRatio float64 `yaml:"retry_ratio"`
	Balance    Balance `yaml:"balance"`
	// Requests lists the rules for requests. The first rule that matches a
	// request applies; a request that no rule matches is rejected.
	Requests []Request `yaml:"requests"`
}

// Key defines where the key of a request is found. Exactly one field must be set.
type Key struct {
	PathSegment *int   `yaml:"path_segment"` // counted from 0 below /<service>/
	Query       string `yaml:"query"`        // name of a query parameter
	Header      string `yaml:"header"`       // name of a request header
}

// Targets describes the targets of the service.
type Targets struct {
	// CheckTokens is set if the targets reject requests with an outdated fencing
	// token.
	CheckTokens bool `yaml:"check_tokens"`
	Slots       int  `yaml:"slots"`       // maximum concurrent requests per target
	Conns       int  `yaml:"connections"` // maximum connections per target; at least Slots
}

// Balance holds the relative weights of the goals of load balancing, each in
// [0, 1], and the limit on range moves.
type Balance struct {
	Imbalance         float64 `yaml:"imbalance"`
	Churn             float64 `yaml:"churn"`
	UnavailableTime   float64 `yaml:"unavailable_time"`
	MaxMovesPerMinute int     `yaml:"max_moves_per_minute"`
}

// Request is one rule for requests.
type Request struct {
	Method string `yaml:"method"` // HTTP method, or "*" for every method
	// Path is a prefix of the path below /<service>; "" matches every path.
	Path string `yaml:"path"`
	// Idempotent is set if the request may be retried when the outcome of an
	// attempt is unknown.
	Idempotent bool          `yaml:"idempotent"`
	Priority   int           `yaml:"priority"` // requests with lower values are shed first under overload
	Timeout    time.Duration `yaml:"timeout"`
}
