package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/metastore"
)

// holdTime is how long a zone stays evacuated after the store has gone back to a copy without
// its record. The operator's lost records are written again.
const holdTime = time.Minute

// Zones is the set of evacuated zones. The zero value has none.
type Zones struct {
	evacuated map[ident.Zone]bool
	// held has the zones that only the store's earlier era had as evacuated, with the end of
	// their hold.
	held map[ident.Zone]clock.Time
	// asOf is the offset up to which all records are applied; 0 if there was none about a zone.
	asOf metastore.Offset
}

// Contains reports whether a zone is evacuated.
func (z *Zones) Contains(zone ident.Zone) bool {
	_, held := z.held[zone]
	return held || z.evacuated[zone]
}

// All returns the evacuated zones in order.
func (z *Zones) All() []ident.Zone {
	all := make(map[ident.Zone]bool, len(z.evacuated)+len(z.held))
	maps.Copy(all, z.evacuated)
	for zone := range z.held {
		all[zone] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Stated returns the evacuated zones by the records up to an offset, for other daemons. It
// reports false if no record about a zone is known.
func (z *Zones) Stated() (zones []ident.Zone, asOf metastore.Offset, ok bool) {
	return slices.Sorted(maps.Keys(z.evacuated)), z.asOf, z.asOf > 0
}

// Apply applies a record that was read from the store.
func (z *Zones) Apply(r Record) {
	if r.Offset < z.asOf {
		return
	}
	z.asOf = r.Offset + 1
	z.set(r.Zone, r.Evacuated)
	delete(z.held, r.Zone)
}

func (z *Zones) set(zone ident.Zone, evacuated bool) {
	if !evacuated {
		delete(z.evacuated, zone)
		return
	}
	if z.evacuated == nil {
		z.evacuated = make(map[ident.Zone]bool)
	}
	z.evacuated[zone] = true
}

// ApplyAll applies the newest record of each zone, as the store had them at the offset end. A
// zone without a record is not evacuated. wentBack is set if the store had later records before,
// although it states no later era.
func (z *Zones) ApplyAll(records []Record, end metastore.Offset, wentBack bool, now clock.Time) {
	if end < z.asOf && !wentBack || len(records) == 0 && z.asOf == 0 {
		return
	}
	if wentBack {
		z.hold(now)
	}
	zones := make(map[ident.Zone]bool)
	for _, r := range records {
		if r.Evacuated {
			zones[r.Zone] = true
		}
	}
	z.replace(zones, end, now)
}

// Adopt applies what another daemon states. It reports whether that is newer than what is
// known.
func (z *Zones) Adopt(zones []ident.Zone, asOf metastore.Offset, now clock.Time) bool {
	if asOf <= z.asOf {
		return false
	}
	set := make(map[ident.Zone]bool)
	for _, zone := range zones {
		set[zone] = true
	}
	z.replace(set, asOf, now)
	return true
}

// replace replaces the set as of an offset. In a later era of the store, zones that it does not
// have as evacuated are held.
func (z *Zones) replace(zones map[ident.Zone]bool, asOf metastore.Offset, now clock.Time) {
	if asOf.Era() > z.asOf.Era() {
		z.hold(now)
	}
	for zone := range zones {
		delete(z.held, zone)
	}
	z.evacuated, z.asOf = zones, asOf
}

// hold keeps the evacuated zones for some time although the store may not have their records.
func (z *Zones) hold(now clock.Time) {
	for zone := range z.evacuated {
		if z.held == nil {
			z.held = make(map[ident.Zone]clock.Time)
		}
		z.held[zone] = now.Add(holdTime)
	}
}

// Expire ends the holds that have lasted long enough. It reports whether there was one.
func (z *Zones) Expire(now clock.Time) bool {
	n := len(z.held)
	maps.DeleteFunc(z.held, func(_ ident.Zone, until clock.Time) bool { return !now.Before(until) })
	return len(z.held) < n
}
