package route

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Table is an immutable view of all services.
type Table struct {
	Offset   platformlog.Offset // offset of the configuration that defines the services
	services map[ident.Service]*Service
}

// Service returns the routing table of the named service. The name is passed as
// bytes so that the lookup does not allocate.
func (t *Table) Service(name []byte) (*Service, bool) {
	s, ok := t.services[ident.Service(name)]
	return s, ok
}

// Len returns the number of services.
func (t *Table) Len() int { return len(t.services) }
