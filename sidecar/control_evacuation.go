package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/evacuation"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
)

const (
	// maxStatedZones bounds the evacuated zones in a status.
	maxStatedZones = 256
	// evacuationKeyTime is how long targets of an evacuated zone still run requests with keys,
	// until these are handed over. That takes two heartbeats and a record.
	evacuationKeyTime = 2 * time.Second
	// evacuationMargin is the time before the end of the bound on evacuations at which no
	// request is sent any more.
	evacuationMargin = 1500 * time.Millisecond
)

// evacuationsRead applies the records about zones that were read from the operator's partition.
// snapshot is set if b has the newest record of each key, and wentBack if the partition was
// longer before.
func (c *control) evacuationsRead(b *metastore.Batch, snapshot, wentBack bool) {
	var records []evacuation.Record
	for i := range b.Records {
		if r, ok := platform.DecodeEvacuation(&b.Records[i]); ok {
			records = append(records, r)
		}
	}
	if snapshot {
		c.zones.ApplyAll(records, b.End, wentBack, clock.Now())
	} else {
		for _, r := range records {
			c.zones.Apply(r)
		}
	}
	c.zonesChanged("store")
}

// evacuationsStated applies the evacuated zones that another daemon states. It so learns of them
// while it can't read the store.
func (c *control) evacuationsStated(s *fleet.Status) {
	if s.EvacuationOffset == 0 {
		return
	}
	zones := make([]ident.Zone, len(s.EvacuatedZones))
	for i, z := range s.EvacuatedZones {
		zones[i] = ident.Zone(z)
	}
	if c.zones.Adopt(zones, metastore.Offset(s.EvacuationOffset), clock.Now()) {
		c.zonesChanged(s.Member.Instance)
	}
}

// stateEvacuations adds the evacuated zones to a status.
func (c *control) stateEvacuations(s *fleet.Status) {
	zones, asOf, ok := c.zones.Stated()
	if !ok || len(zones) > maxStatedZones {
		return
	}
	s.EvacuationOffset = int64(asOf)
	for _, z := range zones {
		s.EvacuatedZones = append(s.EvacuatedZones, string(z))
	}
}

// expireEvacuations ends the evacuation of zones whose records the store has lost for good.
func (c *control) expireEvacuations(now clock.Time) {
	if c.zones.Expire(now) {
		c.zonesChanged("lost records")
	}
}

// zonesChanged applies a change of the evacuated zones, which was learned from a source.
func (c *control) zonesChanged(source string) {
	all := c.zones.All()
	changed := len(all) != len(c.evacuatedZones)
	for i := 0; !changed && i < len(all); i++ {
		changed = all[i] != c.evacuatedZones[i]
	}
	if !changed {
		return
	}
	logevent.Log(c.log, logevent.ZonesEvacuated, zap.Any("zones", all), zap.Any("before", c.evacuatedZones), zap.String("from", source))
	c.setKeysUntil(all, clock.Now())
	c.evacuatedZones = all
	c.evacuatedCount.Store(int64(len(all)))
	c.viewStale, c.status.urgent = true, true
	zone := ident.Zone(c.self.Zone)
	c.d.backend.setEvacuated(c.zones.Contains(zone), c.keysUntil[zone])
	c.plan(clock.Now())
}

// setKeysUntil sets until when the targets of zones that are evacuated now still run requests
// with keys. The operator's record is no older than the time as of which the newest known
// configuration was confirmed, as it would have been read then.
func (c *control) setKeysUntil(zones []ident.Zone, now clock.Time) {
	old := c.keysUntil
	c.keysUntil = make(map[ident.Zone]clock.Time, len(zones))
	until := now.Add(evacuationKeyTime)
	if asOf := clock.Time(c.config.asOf.Load()); asOf != clock.Never {
		until = min(until, asOf.Add(c.d.settings().EvacuateTime-evacuationMargin))
	} else {
		until = now // a new process does not know since when the zone is evacuated
	}
	for _, zone := range zones {
		c.keysUntil[zone] = until
		if known, ok := old[zone]; ok {
			c.keysUntil[zone] = known
		}
	}
}
