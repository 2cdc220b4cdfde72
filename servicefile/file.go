// Package servicefile reads the short YAML file that operators keep beside the
// code of a service, and turns it into a service.Spec. A file is rejected as a
// whole if it holds an unknown field or a value out of its range; every error
// names file, line, field and remedy.
package servicefile

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// File is the content of a service file.
type File struct {
	Service ident.Service `yaml:"service"`
	// Key says where the key of a request is found. A service without it is
	// not divided by key.
	Key *Key `yaml:"key"`
	// Ranges is the initial number of hash ranges of a service divided by key.
	Ranges  int     `yaml:"ranges"`
	Targets Targets `yaml:"targets"`
	// QueueLimit is the number of requests that wait in front of one target.
	QueueLimit int `yaml:"queue_limit"`
	// RetryRatio is the number of retries allowed per first attempt.
	RetryRatio float64 `yaml:"retry_ratio"`
	Balance    Balance `yaml:"balance"`
	// Requests lists the rules for requests; the first that matches applies,
	// and a request that none matches is refused.
	Requests []Request `yaml:"requests"`
}

// Key says where the key of a request is found: exactly one field is set.
type Key struct {
	PathSegment *int   `yaml:"path_segment"` // counted from 0 below /<service>/
	Query       string `yaml:"query"`        // name of a query parameter
	Header      string `yaml:"header"`       // name of a request header
}

// Targets describes the targets of the service.
type Targets struct {
	// CheckTokens says that the targets refuse requests with an old fencing token.
	CheckTokens bool `yaml:"check_tokens"`
	Slots       int  `yaml:"slots"`
	Conns       int  `yaml:"connections"`
}

// Balance weighs the goals of balancing against each other.
type Balance struct {
	Imbalance         float64 `yaml:"imbalance"`
	Churn             float64 `yaml:"churn"`
	UnavailableTime   float64 `yaml:"unavailable_time"`
	MaxMovesPerMinute int     `yaml:"max_moves_per_minute"`
}

// Request is one rule for requests.
type Request struct {
	Method string `yaml:"method"` // HTTP method, or "*" for all
	// Path is a prefix of the path below /<service>; empty for all paths.
	Path string `yaml:"path"`
	// Idempotent says that the request may be repeated after an unknown outcome.
	Idempotent bool          `yaml:"idempotent"`
	Priority   int           `yaml:"priority"` // lower values are shed first
	Timeout    time.Duration `yaml:"timeout"`
}
