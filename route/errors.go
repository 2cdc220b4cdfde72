package route

import (
	"fmt"

	"github.com/parsleystack/parsleystack/service"
)

// KeyError reports a request without a usable key.
type KeyError struct {
	Rule    service.KeyRule
	Problem string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("route: the key in %s %s; send it there exactly once", e.place(), e.Problem)
}

func (e *KeyError) place() string {
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
