package route

import (
	"fmt"

	"github.com/parsleystack/parsleystack/service"
)

// KeyError reports a request without a valid key.
type KeyError struct {
	Rule    service.KeyRule
	Problem string // predicate whose subject is the key, such as "is missing or empty"
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("route: the key in %s %s; send it there exactly once", e.location(), e.Problem)
}

func (e *KeyError) location() string {
	switch e.Rule.Source {
	case service.KeyPathSegment:
		return fmt.Sprintf("path segment %d", e.Rule.Segment)
	case service.KeyQuery:
		return fmt.Sprintf("query parameter %q", e.Rule.Name)
	case service.KeyHeader:
		return fmt.Sprintf("header %q", e.Rule.Name)
	}
	return "the request"
}
