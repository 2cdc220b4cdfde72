package directory

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
)

// NoMemberError reports that no member of a service's cell is known, or that none
// answers.
type NoMemberError struct {
	Service ident.Service
	Cause   error // error of the last attempt; nil if no member is known
}

func (e *NoMemberError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("directory: no daemon of service %q has announced itself; start its daemons, or check the service's name", e.Service)
	}
	return fmt.Sprintf("directory: no daemon of service %q answers: %v; check that its daemons run and are reachable", e.Service, e.Cause)
}

// Unwrap returns Cause.
func (e *NoMemberError) Unwrap() error { return e.Cause }
