package fleet

import "testing"

// During an upgrade, daemons of two versions exchange statuses. The age of the
// configuration must not make a status unreadable to the earlier version, which reads
// only the tuple, and a status without it must not claim a confirmed configuration.
func TestStatusesOfTwoVersions(t *testing.T) {
	sent := &Status{Seq: 3, Config: 7, Member: Member{Instance: "a", Revision: 1}, ConfigAgeMS: 250, ConfigHops: 2}
	got, err := DecodeStatus(sent.Encode())
	if err != nil || got.ConfigAgeMS != 250 || got.ConfigHops != 2 || got.Config != 7 {
		t.Errorf("%+v, %v", got, err)
	}
	var earlier Status
	rest, err := earlier.UnmarshalMsg(sent.Encode())
	if err != nil || earlier.Config != 7 || len(rest) == 0 {
		t.Errorf("as an earlier version reads it: %+v, %v", earlier, err)
	}
	if got.Load.RateLimited {
		t.Errorf("a status without a rate limit has one: %+v", got.Load)
	}
	limited := *sent
	limited.Load.RateLimited, limited.Load.RateLimit = true, 0.3
	if got, err := DecodeStatus(limited.Encode()); err != nil || !got.Load.RateLimited || got.Load.RateLimit != 0.3 || got.ConfigAgeMS != 250 {
		t.Errorf("with a rate limit: %+v, %v", got, err)
	}
	if extra := len(limited.Encode()) - len(sent.Encode()); extra > 10 {
		t.Errorf("a rate limit takes %d bytes of each status", extra)
	}
	tuple, err := sent.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeStatus(tuple); err != nil || got.ConfigAgeMS != UnknownAge || got.Config != 7 {
		t.Errorf("of an earlier version: %+v, %v", got, err)
	}
	if got, err := DecodeStatus(append(tuple, 0xc1)); err != nil || got.ConfigAgeMS != UnknownAge || got.Config != 7 {
		t.Errorf("with another extension: %+v, %v", got, err)
	}
}

// The zones that are evacuated must be readable with and without a rate limit before them, and
// must not make a status larger or unreadable for others.
func TestStatusWithEvacuatedZones(t *testing.T) {
	for _, limited := range []bool{false, true} {
		sent := &Status{Seq: 3, Member: Member{Instance: "a", Revision: 1}, ConfigAgeMS: 250, EvacuationOffset: 1 << 40, EvacuatedZones: []string{"z1", "z2"}}
		sent.Load.RateLimited, sent.Load.RateLimit = limited, 0.3
		got, err := DecodeStatus(sent.Encode())
		if err != nil || got.EvacuationOffset != 1<<40 || len(got.EvacuatedZones) != 2 || got.EvacuatedZones[1] != "z2" || got.Load.RateLimited != limited {
			t.Errorf("limited %v: %+v, %v", limited, got, err)
		}
		sent.EvacuatedZones = nil
		if got, err := DecodeStatus(sent.Encode()); err != nil || got.EvacuationOffset != 1<<40 || len(got.EvacuatedZones) != 0 {
			t.Errorf("limited %v, ended: %+v, %v", limited, got, err)
		}
		none := *sent
		none.EvacuationOffset = 0
		if got, err := DecodeStatus(none.Encode()); err != nil || got.EvacuationOffset != 0 || len(none.Encode()) >= len(sent.Encode()) {
			t.Errorf("limited %v, no records: %+v, %v", limited, got, err)
		}
	}
}

// A status with more suspects than its receivers accept would be dropped, and its sender
// suspected by all.
func TestStatusWithManySuspectsIsReadable(t *testing.T) {
	s := Status{Seq: 1, Member: member(1, 1), Suspects: make([]string, 2*maxSuspects)}
	got, err := DecodeStatus(s.Encode())
	if err != nil || len(got.Suspects) != maxSuspects {
		t.Fatalf("got %+v, %v", got, err)
	}
}
