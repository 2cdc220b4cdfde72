package ownertable

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// packed is the first byte of a compressed record, which no other record of
	// this package begins with.
	packed = 0xC1
	// maxUnpacked bounds what a record may grow to: more than the largest table.
	maxUnpacked = 4 << 20
)

// writers keeps compressors, which are large.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("ownertable: the level of compression is valid: " + err.Error())
	}
	return w
}}

// readers keeps decompressors.
var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// pack compresses a record. Tables repeat owners and rising numbers, and each
// one goes to every daemon of the fleet.
func pack(record []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(packed)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(record); err != nil {
		panic("ownertable: a record can always be compressed: " + err.Error())
	}
	if err := w.Close(); err != nil {
		panic("ownertable: a record can always be compressed: " + err.Error())
	}
	return out.Bytes()
}

// unpack returns the record that pack compressed, or b itself if it is not
// compressed.
func unpack(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packed {
		return b, nil
	}
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	err := r.(flate.Resetter).Reset(bytes.NewReader(b[1:]), nil)
	var record []byte
	if err == nil {
		record, err = io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	}
	if err != nil {
		return nil, &RecordError{Reason: "it can't be decompressed: " + err.Error()}
	}
	if len(record) > maxUnpacked {
		return nil, &RecordError{Reason: fmt.Sprintf("it is larger than %d bytes", maxUnpacked)}
	}
	return record, nil
}
