package ownertable

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
)

func sampleTable() *Table {
	a := Owner{Instance: "a", Target: Target{ID: "t", Born: 5}}
	b := Owner{Instance: "b", Target: Target{ID: "u", Born: 6}}
	return &Table{Rows: []Row{
		{Range: Range{To: 99}, Token: 3, Owner: a, Handover: "h"},
		{Range: Range{From: 100, To: 4000}, Token: 4, Owner: a, Next: b, Revoked: RevokedToMove},
		{Range: Range{From: 4001, To: MaxKey}, Token: 9},
	}}
}

// TestTablesAreReadBack encodes and decodes, and rejects what is no table.
func TestTablesAreReadBack(t *testing.T) {
	want := sampleTable()
	got, err := Decode(want.Encode())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	short := &Table{Rows: want.Rows[:2]}
	for name, b := range map[string][]byte{"empty": nil, "torn": want.Encode()[:20], "not all keys": short.Encode()} {
		if _, err := Decode(b); err == nil {
			t.Errorf("%s is taken for a table", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleTable().Encode())
	f.Add(NewTable().Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		table, err := Decode(b)
		if err != nil {
			return
		}
		for _, key := range []uint32{0, 1, 777, MaxKey} {
			if !table.Find(key).Contains(key) {
				t.Errorf("the row of key %d does not contain it", key)
			}
		}
	})
}

// hotKeys is a load in which 200 neighbours get two fifths of all requests.
func hotKeys(key uint32) float64 {
	if key >= 20000 && key < 20200 {
		return 200
	}
	return 1
}

// loadedWorld returns two targets, the first of which has more load than it can
// run, and a table that gives it most keys.
func loadedWorld() (*Table, *World) {
	a := Owner{Instance: "a", Target: Target{ID: "t", Born: 5}}
	b := Owner{Instance: "b", Target: Target{ID: "u", Born: 6}}
	t := &Table{}
	for from := uint32(0); from <= MaxKey; from += 1024 {
		o := a
		if from%4096 == 0 {
			o = b
		}
		t.Rows = append(t.Rows, Row{Range: Range{From: from, To: from + 1023}, Token: 1, Owner: o})
	}
	w := &World{Self: a, KeyLoad: hotKeys, Settled: true, Candidates: []Candidate{
		{Owner: a, Slots: 18, Load: 1.4, Pace: 0.5, Ready: true, Heard: true},
		{Owner: b, Slots: 18, Load: 0.4, Pace: 0.25, Ready: true, Heard: true},
	}}
	return t, w
}

// TestHotKeysLeaveALoadedTarget replays a day on which busy neighbours fill one
// target while another is idle: part of the load is to move, by few keys.
func TestHotKeysLeaveALoadedTarget(t *testing.T) {
	table, w := loadedWorld()
	next, changes := Plan(table, 7, w)
	if next == nil {
		t.Fatal("nothing moves")
	}
	moved, keys, total := 0.0, 0, 0.0
	for _, c := range changes {
		if c.Reason != ReasonLoad || c.Row.Revoked != RevokedToMove || c.Row.Next.Instance != "b" {
			t.Errorf("change %+v", c)
		}
		keys += c.Row.Len()
		for key := c.Row.From; key <= c.Row.To; key++ {
			moved += hotKeys(key)
		}
	}
	for _, r := range table.Owned(w.Self) {
		for key := r.From; key <= r.To; key++ {
			total += hotKeys(key)
		}
	}
	if share := moved / total; share < minShed || share > maxShed*1.1 {
		t.Errorf("%.2f of the load moves", share)
	}
	if share := float64(keys) / (MaxKey + 1); share > 0.25 {
		t.Errorf("%.2f of the keys move", share)
	}
	if again, _ := Plan(next, 8, w); again != nil {
		t.Error("more moves while rows are on their way")
	}
}

// TestBalancedLoadStays checks the gap that keeps rows from going to and fro.
func TestBalancedLoadStays(t *testing.T) {
	table, w := loadedWorld()
	w.Candidates[1].Load = w.Candidates[0].Load - shedGap/2
	if next, changes := Plan(table, 7, w); next != nil {
		t.Errorf("%d changes between targets of about the same load", len(changes))
	}
}

// TestOnlySurvivorCanBeAnswered lets all targets but one end. All rows go to
// it, joined so that the answer to a heartbeat has room for them.
func TestOnlySurvivorCanBeAnswered(t *testing.T) {
	var all []Candidate
	for i := range 24 {
		o := Owner{Instance: ident.Instance(fmt.Sprintf("m%02d", i)), Target: Target{ID: "t", Born: int64(i + 1)}}
		all = append(all, Candidate{Owner: o, Slots: 18, Ready: true, Heard: true})
	}
	table, _ := Plan(NewTable(), 0, &World{Candidates: all, Settled: true})
	if len(table.Rows) > MaxRows {
		t.Fatalf("%d rows", len(table.Rows))
	}
	for i := range all[1:] {
		all[i+1].Ready, all[i+1].Ended = false, true
	}
	table, _ = Plan(table, 1, &World{Candidates: all, Settled: true})
	if rows := len(table.Owned(all[0].Owner)); rows > maxOwnerRows {
		t.Errorf("the survivor has %d rows, want at most %d", rows, maxOwnerRows)
	}
	for _, r := range table.Rows {
		if r.Owner != all[0].Owner {
			t.Errorf("%v is with %v", r.Range, r.Owner)
		}
	}
}
