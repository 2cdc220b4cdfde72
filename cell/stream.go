package cell

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// StreamName returns the name of the log stream of the cell with the given
// index of a service in a region.
func StreamName(svc ident.Service, region ident.Region, index int) platformlog.Stream {
	return platformlog.Stream(fmt.Sprintf("cell.%s.%s.%d", svc, region, index))
}
