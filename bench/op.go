package bench

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

const keyPlaceholder = "{key}"

// Op is one operation of a mix.
type Op struct {
	Name       string
	Method     string
	Path       string // contains {key}
	Weight     float64
	Idempotent bool
	Timeout    time.Duration
}

// Service returns the service, which is the first path segment.
func (o *Op) Service() ident.Service {
	service, _, _ := strings.Cut(strings.TrimPrefix(o.Path, "/"), "/")
	return ident.Service(service)
}

// PathFor returns the path for a key.
func (o *Op) PathFor(key string) string {
	return strings.Replace(o.Path, keyPlaceholder, key, 1)
}

// TargetPathFor returns the path for a key as the target sees it, below the
// service's prefix.
func (o *Op) TargetPathFor(key string) string {
	return strings.TrimPrefix(o.PathFor(key), "/"+string(o.Service()))
}

// ParseOp parses name:method:path:weight:timeout. GET and HEAD requests are
// idempotent.
func ParseOp(s string) (Op, error) {
	fields := strings.Split(s, ":")
	if len(fields) != 5 {
		return Op{}, fmt.Errorf("bench: operation %q has %d fields; write name:method:path:weight:timeout", s, len(fields))
	}
	weight, err := strconv.ParseFloat(fields[3], 64)
	if err != nil || weight <= 0 {
		return Op{}, fmt.Errorf("bench: operation %q: weight %q is not a positive number", s, fields[3])
	}
	timeout, err := time.ParseDuration(fields[4])
	if err != nil || timeout <= 0 {
		return Op{}, fmt.Errorf("bench: operation %q: timeout %q is not a positive duration such as 2s", s, fields[4])
	}
	if !strings.HasPrefix(fields[2], "/") || !strings.Contains(fields[2], keyPlaceholder) {
		return Op{}, fmt.Errorf("bench: operation %q: path %q must begin with / and contain %s", s, fields[2], keyPlaceholder)
	}
	return Op{
		Name:       fields[0],
		Method:     fields[1],
		Path:       fields[2],
		Weight:     weight,
		Idempotent: fields[1] == "GET" || fields[1] == "HEAD",
		Timeout:    timeout,
	}, nil
}
