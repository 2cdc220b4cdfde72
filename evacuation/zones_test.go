package evacuation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/metastore"
)

func offset(era metastore.Era, position int64) metastore.Offset {
	o, err := metastore.NewOffset(era, position)
	if err != nil {
		panic(err)
	}
	return o
}

// Records arrive from the store, in snapshots and from other daemons, in any order; an older one
// must neither end an evacuation nor begin it again.
func TestZonesFollowTheNewestRecords(t *testing.T) {
	now := clock.Time(time.Hour)
	later := now.Add(2 * holdTime)
	put := func(zone ident.Zone, at int64) func(*Zones) {
		return func(z *Zones) { z.Apply(Record{Zone: zone, Evacuated: true, Offset: offset(0, at)}) }
	}
	remove := func(zone ident.Zone, at int64) func(*Zones) {
		return func(z *Zones) { z.Apply(Record{Zone: zone, Offset: offset(0, at)}) }
	}
	all := func(era metastore.Era, end int64, wentBack bool, zones ...ident.Zone) func(*Zones) {
		return func(z *Zones) {
			var records []Record
			for _, zone := range zones {
				records = append(records, Record{Zone: zone, Evacuated: true})
			}
			z.ApplyAll(records, offset(era, end), wentBack, now)
		}
	}
	adopt := func(end int64, zones ...ident.Zone) func(*Zones) {
		return func(z *Zones) { z.Adopt(zones, offset(0, end), now) }
	}
	expire := func(z *Zones) { z.Expire(later) }
	a, b := ident.Zone("a"), ident.Zone("b")
	tests := []struct {
		name   string
		events []func(*Zones)
		want   []ident.Zone
	}{
		{"none", []func(*Zones){all(0, 9, false)}, nil},
		{"begun", []func(*Zones){put(a, 4)}, []ident.Zone{a}},
		{"ended", []func(*Zones){put(a, 4), put(b, 5), remove(a, 6)}, []ident.Zone{b}},
		{"record that is read twice", []func(*Zones){put(a, 4), remove(a, 6), put(a, 4)}, nil},
		{"snapshot", []func(*Zones){all(0, 9, false, a, b)}, []ident.Zone{a, b}},
		{"compacted, then a snapshot without the record", []func(*Zones){put(a, 4), all(0, 9, false)}, nil},
		{"older snapshot", []func(*Zones){put(a, 14), all(0, 9, false)}, []ident.Zone{a}},
		{"from another daemon", []func(*Zones){adopt(9, a)}, []ident.Zone{a}},
		{"from another daemon that is behind", []func(*Zones){put(a, 9), adopt(9), adopt(4, b)}, []ident.Zone{a}},
		{"record that another daemon has passed on", []func(*Zones){adopt(9), put(a, 8)}, nil},
		{"store went back and lost the record", []func(*Zones){put(a, 4), all(1, 3, false)}, []ident.Zone{a}},
		{"lost and not written again", []func(*Zones){put(a, 4), all(1, 3, false), expire}, nil},
		{"lost and written again", []func(*Zones){put(a, 4), all(1, 3, false), func(z *Zones) { z.Apply(Record{Zone: a, Evacuated: true, Offset: offset(1, 3)}) }, expire}, []ident.Zone{a}},
		{"lost and ended", []func(*Zones){put(a, 4), all(1, 3, false), func(z *Zones) { z.Apply(Record{Zone: a, Offset: offset(1, 3)}) }}, nil},
		{"end lost and written again", []func(*Zones){put(a, 4), remove(a, 5), all(1, 5, false, a), func(z *Zones) { z.Apply(Record{Zone: a, Offset: offset(1, 5)}) }}, nil},
		{"store without eras went back", []func(*Zones){put(a, 4), all(0, 3, true)}, []ident.Zone{a}},
	}
	for _, tt := range tests {
		var z Zones
		for _, e := range tt.events {
			e(&z)
		}
		if got := z.All(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		for _, zone := range []ident.Zone{a, b} {
			if z.Contains(zone) != slices.Contains(tt.want, zone) {
				t.Errorf("%s: Contains(%s) is %v", tt.name, zone, z.Contains(zone))
			}
		}
	}
}

func ExampleZones() {
	var z Zones
	z.Apply(Record{Zone: "z1", Evacuated: true, Offset: 7})
	fmt.Println(z.All(), z.Contains("z2"))
	// Output: [z1] false
}
