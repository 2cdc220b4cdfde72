package sidecar

import (
	"slices"

	"github.com/parsleystack/parsleystack/metastore"
)

// maxHistoryBytes bounds the values of the records that a daemon keeps for others, and so
// what it sends to one of them: 52 ms of a link of 10 Mbit/s. It holds some tables of a
// large service, or the records of a fleet of 300. Who lacks more reads the store.
const maxHistoryBytes = 64 << 10

// recordHistory holds the newest records of the directory that were applied, without
// gaps, so that a daemon that is behind can obtain them from this one instead of from
// the store. Only the control goroutine uses it.
type recordHistory struct {
	end     metastore.Offset // after the newest record
	records []metastore.Record
	bytes   int
}

// restart empties the history. The records that follow begin at an offset.
func (h *recordHistory) restart(at metastore.Offset) { *h = recordHistory{end: at} }

// add appends records that were read from an offset on. Those that it has already are
// skipped. If some are missing before them, the history restarts with them.
func (h *recordHistory) add(from metastore.Offset, records []metastore.Record) {
	if from > h.end {
		h.restart(from)
	}
	for i := range records {
		r := &records[i]
		if r.Offset < h.end {
			continue
		}
		h.records = append(h.records, *r)
		h.bytes += len(r.Value)
		h.end = r.Offset + 1
	}
	drop := 0
	for h.bytes > maxHistoryBytes && drop < len(h.records)-1 {
		h.bytes -= len(h.records[drop].Value)
		drop++
	}
	if drop > 0 {
		h.records = slices.Clone(h.records[drop:])
	}
}

// since returns the records from an offset on. It reports false if they are not kept.
func (h *recordHistory) since(from metastore.Offset) ([]metastore.Record, bool) {
	if len(h.records) == 0 || from < h.records[0].Offset || from.Era() != h.end.Era() {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(h.records, from, func(r metastore.Record, at metastore.Offset) int { return int(r.Offset - at) })
	return h.records[i:], true
}
