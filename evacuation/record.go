package evacuation

import (
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/metastore"
)

// Record is a record of the operator about one zone.
type Record struct {
	Zone      ident.Zone
	Evacuated bool // false if the record has no value
	Offset    metastore.Offset
}
