package cli

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/admin"
)

func (c *call) printStatus(out *statusOutput, ranges bool) {
	if c.args.JSON {
		c.printJSON(out)
		return
	}
	c.printDaemons(out.Daemons)
	for _, cell := range mergeCells(out.Daemons) {
		c.printCell(&cell, ranges)
	}
	if len(out.Findings) == 0 {
		c.printf("\nNo findings.\n")
		return
	}
	c.printf("\nFindings\n")
	for _, f := range out.Findings {
		c.printf("  %s\n", f)
	}
}

func (c *call) printDaemons(daemons []*admin.Status) {
	t := c.table()
	fmt.Fprintln(t, "INSTANCE\tZONE\tSERVICE\tREADY\tTARGET\tIN FLIGHT\tQUEUED\tSLOTS\tCONFIG")
	for _, d := range daemons {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			d.Instance, d.Zone, d.Service, readiness(d), yesNo(d.Target.Ready),
			d.Target.InFlight, d.Target.Queued, d.Target.Slots, d.Config.Offset)
	}
	_ = t.Flush()
}

func readiness(d *admin.Status) string {
	if d.Draining {
		return "draining"
	}
	return yesNo(d.Ready)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (c *call) printCell(cell *admin.CellStatus, ranges bool) {
	c.printCellHead(cell)
	owned := map[string]int{}
	for _, r := range cell.Ranges {
		owned[r.Owner]++
	}
	t := c.table()
	fmt.Fprintln(t, "  MEMBER\tZONE\tADDRESS\tSLOTS\tRANGES")
	for _, m := range cell.Members {
		node := fmt.Sprintf("%s#%d", m.Instance, uint64(m.Incarnation))
		fmt.Fprintf(t, "  %s\t%s\t%s\t%d\t%d\n", node, m.Zone, m.Addr, m.Slots, owned[node])
	}
	_ = t.Flush()
	if ranges {
		c.printRanges(cell)
	}
}

func (c *call) printCellHead(cell *admin.CellStatus) {
	if cell.Leaderless {
		c.printf("\nService %s: store read up to %d, %d ranges\n", cell.Service, cell.Term, len(cell.Ranges))
		return
	}
	c.printf("\nCell %d of %s in %s: term %d, leader %s, deputy %s, %d ranges, %d provisional\n",
		cell.Index, cell.Service, cell.Region, cell.Term, cell.Leader, cell.Deputy, len(cell.Ranges), cell.Provisional)
}

func (c *call) printRanges(cell *admin.CellStatus) {
	t := c.table()
	fmt.Fprintln(t, "  RANGE\tOWNER\tTOKEN\tLEASE LEFT")
	for _, r := range cell.Ranges {
		left := "-"
		if r.LeaseLeft > 0 {
			left = r.LeaseLeft.Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", r.Range, r.Owner, r.Token, left)
	}
	_ = t.Flush()
}
