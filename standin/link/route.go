package link

import (
	"fmt"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
)

// Route is the relayed path to the daemon of one instance.
type Route struct {
	Instance ident.Instance
	Listen   string // address that the daemon announces
	Forward  string // address that the daemon listens on
}

// ParseRoute parses a route of the form instance=listen=forward.
func ParseRoute(s string) (Route, error) {
	f := strings.Split(s, "=")
	if len(f) != 3 {
		return Route{}, fmt.Errorf("link: route %q is not of the form instance=listen=forward", s)
	}
	return Route{Instance: ident.Instance(f[0]), Listen: f[1], Forward: f[2]}, nil
}
