package sidecar

import (
	"testing"

	"github.com/parsleystack/parsleystack/metastore"
)

func historyRecords(from, to metastore.Offset, size int) []metastore.Record {
	var records []metastore.Record
	for at := from; at < to; at++ {
		records = append(records, metastore.Record{Key: "member/a", Value: make([]byte, size), Offset: at})
	}
	return records
}

// A daemon that is behind must never skip a record: what another one hands out has no
// gap, whatever the order in which its own records arrived.
func TestHistoryHasNoGaps(t *testing.T) {
	var h recordHistory
	h.restart(5)
	h.add(5, historyRecords(5, 9, 10))
	h.add(7, historyRecords(7, 12, 10)) // overlaps
	got, ok := h.since(6)
	if !ok || len(got) != 6 || got[0].Offset != 6 || got[5].Offset != 11 {
		t.Errorf("since 6: %v, %v", got, ok)
	}
	if got, ok := h.since(12); !ok || len(got) != 0 {
		t.Errorf("since the end: %v, %v, want no record", got, ok)
	}
	if _, ok := h.since(4); ok {
		t.Error("records from offset 4 on are returned, which the history never had")
	}
	h.add(20, historyRecords(20, 22, 10)) // 12 to 19 are missing
	if _, ok := h.since(11); ok {
		t.Error("records are returned although some of them are missing")
	}
	if got, ok := h.since(20); !ok || len(got) != 2 {
		t.Errorf("since 20: %v, %v", got, ok)
	}
	h.restart(metastore.Offset(1) << 40) // a later era
	if _, ok := h.since(21); ok {
		t.Error("records of an earlier era are returned")
	}
}

// Tables of a large service must not fill the memory of a small instance.
func TestHistoryIsBounded(t *testing.T) {
	var h recordHistory
	h.add(0, historyRecords(0, 1000, 8<<10))
	if h.bytes > maxHistoryBytes || len(h.records) > maxHistoryBytes/(8<<10) {
		t.Errorf("%d records with %d bytes are kept", len(h.records), h.bytes)
	}
	if got, ok := h.since(999); !ok || len(got) != 1 {
		t.Errorf("the newest record: %v, %v", len(got), ok)
	}
	if _, ok := h.since(0); ok {
		t.Error("records are returned from an offset whose record was dropped")
	}
}
