package ownertable

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// compressedMarker is the first byte of a compressed record. No uncompressed
	// record of this package begins with it.
	compressedMarker = 0xC1
	// maxDecompressedBytes is the largest size of a decompressed record. It is
	// larger than any table.
	maxDecompressedBytes = 4 << 20
)

// flateWriters is a pool of compressors, which are expensive to allocate.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("ownertable: invalid compression level: " + err.Error())
	}
	return w
}}

// flateReaders is a pool of decompressors.
var flateReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// compress compresses a record. Tables compress well because they repeat owners
// and ascending numbers, and each table is sent to every daemon of the fleet.
func compress(record []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(compressedMarker)
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(record); err != nil {
		panic("ownertable: cannot compress record: " + err.Error())
	}
	if err := w.Close(); err != nil {
		panic("ownertable: cannot compress record: " + err.Error())
	}
	return out.Bytes()
}

// decompress returns the decompressed record, or b itself if it is not compressed.
// It returns a *RecordError for corrupt data and for a record that is too large.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedMarker {
		return b, nil
	}
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	err := r.(flate.Resetter).Reset(bytes.NewReader(b[1:]), nil)
	var record []byte
	if err == nil {
		record, err = io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	}
	if err != nil {
		return nil, &RecordError{Reason: "it cannot be decompressed: " + err.Error()}
	}
	if len(record) > maxDecompressedBytes {
		return nil, &RecordError{Reason: fmt.Sprintf("its decompressed size exceeds %d bytes", maxDecompressedBytes)}
	}
	return record, nil
}
