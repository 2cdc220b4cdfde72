package cli

import (
	"cmp"
	"slices"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/ident"
)

type cellName struct {
	service ident.Service
	region  ident.Region
	index   int
}

// mergeCells returns each cell once, with the status from the daemon that has
// the newest term and, among those, a complete list of ranges.
func mergeCells(daemons []*admin.Status) []admin.CellStatus {
	best := map[cellName]admin.CellStatus{}
	for _, d := range daemons {
		for _, cell := range d.Cells {
			name := cellName{cell.Service, cell.Region, cell.Index}
			if current, ok := best[name]; !ok || isMoreRecent(&cell, &current) {
				best[name] = cell
			}
		}
	}
	cells := make([]admin.CellStatus, 0, len(best))
	for _, cell := range best {
		cells = append(cells, cell)
	}
	slices.SortFunc(cells, func(a, b admin.CellStatus) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Index, b.Index),
		)
	})
	return cells
}

func isMoreRecent(a, b *admin.CellStatus) bool {
	if a.Complete != b.Complete && a.Term >= b.Term {
		return a.Complete
	}
	return a.Term > b.Term
}
