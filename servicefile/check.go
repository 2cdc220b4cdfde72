package servicefile

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

const (
	maxRanges         = 4096
	maxSlots          = 100_000
	maxConns          = 1_000_000
	maxQueue          = 100_000
	maxMovesPerMinute = 10_000
	maxSegment        = 15
	maxPriority       = 9
	maxRequestRules   = 100
	minTimeout        = time.Millisecond
	maxTimeout        = time.Hour
)

func (f *File) check(c *yamlfile.Checker) {
	c.Name("service", string(f.Service), "service")
	f.checkKey(c)
	c.Int("targets.slots", int64(f.Targets.Slots), 1, maxSlots, "requests at once")
	c.Int("targets.connections", int64(f.Targets.Conns), 1, maxConns, "connections")
	if f.Targets.Conns >= 1 && f.Targets.Conns < f.Targets.Slots {
		c.Fail("targets.connections", "there are fewer connections than slots", "write at least as many connections as slots")
	}
	c.Int("queue_limit", int64(f.QueueLimit), 0, maxQueue, "requests")
	c.Fraction("retry_ratio", f.RetryRatio, 0, 1)
	f.Balance.check(c)
	f.checkRequests(c)
}

func (f *File) checkKey(c *yamlfile.Checker) {
	if f.Key == nil {
		if f.Ranges != 0 {
			c.Fail("ranges", "the service is not divided by key", "remove ranges, or say with key where the key is found")
		}
		return
	}
	c.Int("ranges", int64(f.Ranges), 1, maxRanges, "hash ranges")
	f.Key.check(c)
}

func (k *Key) check(c *yamlfile.Checker) {
	sources := 0
	if k.PathSegment != nil {
		sources++
		c.Int("key.path_segment", int64(*k.PathSegment), 0, maxSegment, "segments, counted from 0")
	}
	if k.Query != "" {
		sources++
	}
	if k.Header != "" {
		sources++
		if !isHeaderName(k.Header) {
			c.Fail("key.header", fmt.Sprintf("%q is not a header name", k.Header), "use letters, digits and hyphens, such as Room-Id")
		}
	}
	if sources != 1 {
		c.Fail("key", "the key must be found in exactly one place", "set one of path_segment, query and header")
	}
}

func isHeaderName(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		digit := '0' <= r && r <= '9'
		return !letter && !digit && r != '-'
	}) < 0
}

func (b *Balance) check(c *yamlfile.Checker) {
	c.Fraction("balance.imbalance", b.Imbalance, 0, 1)
	c.Fraction("balance.churn", b.Churn, 0, 1)
	c.Fraction("balance.unavailable_time", b.UnavailableTime, 0, 1)
	c.Int("balance.max_moves_per_minute", int64(b.MaxMovesPerMinute), 0, maxMovesPerMinute, "moves a minute")
}

func (f *File) checkRequests(c *yamlfile.Checker) {
	n := len(f.Requests)
	if n == 0 || n > maxRequestRules {
		c.Fail("requests", fmt.Sprintf("there are %d rules", n), fmt.Sprintf("write 1 to %d rules; a request that no rule matches is refused", maxRequestRules))
		return
	}
	for i := range f.Requests {
		f.checkRequest(c, i)
	}
}

func (f *File) checkRequest(c *yamlfile.Checker, i int) {
	r := &f.Requests[i]
	field := fmt.Sprintf("requests[%d]", i)
	if !isMethod(r.Method) {
		c.Fail(field+".method", fmt.Sprintf("%q is not an HTTP method", r.Method), `write a method such as GET, or "*" for all`)
	}
	if r.Path != "" && r.Path[0] != '/' {
		c.Fail(field+".path", fmt.Sprintf("%q does not start with a slash", r.Path), "write the path below the service's name, such as /surveys")
	}
	c.Int(field+".priority", int64(r.Priority), 0, maxPriority, "lower values are shed first")
	c.Duration(field+".timeout", r.Timeout, minTimeout, maxTimeout)
	for j := 0; j < i; j++ {
		if f.Requests[j].covers(r) {
			c.Fail(field, fmt.Sprintf("the rule is never reached, since rule %d matches all of its requests", j), "put the narrower rule first, or remove one of them")
			return
		}
	}
}

// covers reports whether r matches every request that o matches.
func (r *Request) covers(o *Request) bool {
	return (r.Method == "*" || r.Method == o.Method) && strings.HasPrefix(o.Path, r.Path)
}

func isMethod(m string) bool {
	switch m {
	case "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
		return true
	}
	return false
}
