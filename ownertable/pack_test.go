package ownertable

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
)

// largeTable returns the table of a service with many targets, ten shards each.
func largeTable(targets int) *Table {
	t := &Table{}
	shards := targets * 10
	for i := range shards {
		from := uint32(i * (MaxKey + 1) / shards)
		to := uint32((i+1)*(MaxKey+1)/shards - 1)
		owner := Owner{Instance: ident.Instance(fmt.Sprintf("sidecar-muenchen-%d", i%targets)), Target: Target{ID: fmt.Sprintf("i-%010x", i%targets*7919), StartTime: 1784734075000 + int64(i%targets)}}
		t.Shards = append(t.Shards, Shard{Range: Range{From: from, To: to}, Token: uint64(1000 + i), Owner: owner})
	}
	return t
}

// TestLargeTablesAreSmallRecords bounds the encoded size of a large table,
// because every change of it is sent to the whole fleet.
func TestLargeTablesAreSmallRecords(t *testing.T) {
	table := largeTable(35)
	record := table.Encode()
	if len(record) > 2500 {
		t.Errorf("a table of %d shards is encoded as %d bytes, want at most 2500", len(table.Shards), len(record))
	}
	back, err := Decode(record)
	if err != nil || len(back.Shards) != len(table.Shards) || back.Shards[349] != table.Shards[349] {
		t.Errorf("the decoded table differs from the encoded one, error %v", err)
	}
}

// TestHugeRecordsAreRefused guards against running out of memory on a small
// record that decompresses to a very large one.
func TestHugeRecordsAreRefused(t *testing.T) {
	var want *RecordError
	if _, err := Decode(compress(make([]byte, 64<<20))); !errors.As(err, &want) {
		t.Errorf("64 MB of zeros: got error %v, want a RecordError", err)
	}
	if _, err := Decode(append([]byte{compressedMarker}, bytes.Repeat([]byte{0xff}, 40)...)); !errors.As(err, &want) {
		t.Errorf("corrupt compressed data: got error %v, want a RecordError", err)
	}
}
