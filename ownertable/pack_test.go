package ownertable

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
)

// largeTable is the table of a service with many targets, ten rows each.
func largeTable(targets int) *Table {
	t := &Table{}
	rows := targets * 10
	for i := range rows {
		from := uint32(i * (MaxKey + 1) / rows)
		to := uint32((i+1)*(MaxKey+1)/rows - 1)
		owner := Owner{Instance: ident.Instance(fmt.Sprintf("sidecar-muenchen-%d", i%targets)), Target: Target{ID: fmt.Sprintf("i-%010x", i%targets*7919), Born: 1784734075000 + int64(i%targets)}}
		t.Rows = append(t.Rows, Row{Range: Range{From: from, To: to}, Token: uint64(1000 + i), Owner: owner})
	}
	return t
}

// A change of a large table goes to the whole fleet.
func TestLargeTablesAreSmallRecords(t *testing.T) {
	table := largeTable(35)
	record := table.Encode()
	if len(record) > 2500 {
		t.Errorf("a table of %d rows takes %d bytes, 2500 wanted at most", len(table.Rows), len(record))
	}
	back, err := Decode(record)
	if err != nil || len(back.Rows) != len(table.Rows) || back.Rows[349] != table.Rows[349] {
		t.Errorf("read back with error %v", err)
	}
}

// A record that grows without end is refused before it fills the memory.
func TestHugeRecordsAreRefused(t *testing.T) {
	var want *RecordError
	if _, err := Decode(pack(make([]byte, 64<<20))); !errors.As(err, &want) {
		t.Errorf("64 MB of zeros end with %v", err)
	}
	if _, err := Decode(append([]byte{packed}, bytes.Repeat([]byte{0xff}, 40)...)); !errors.As(err, &want) {
		t.Errorf("bytes that are not compressed end with %v", err)
	}
}
