// Package cost measures how the cost of the parts of the system grows with their
// size: bytes, messages, CPU time and memory, as series for the capacity page.
package cost

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/platformlog"
)

const (
	// callsForBytes is the number of calls whose bytes are counted. The counts
	// of equal calls differ only by the number of digits of offsets.
	callsForBytes = 20

	// callsForCPU is the number of calls per round of a CPU time measurement.
	callsForCPU = 500

	// recordBytes is the payload size of the records that reads return.
	recordBytes = 200

	measureTimeout = 10 * time.Second
)

var (
	payloadSizes = []int{64, 256, 1024, 4096, 16384}
	batchSizes   = []int{0, 1, 4, 16, 64, 256}
)

// Log measures the bytes on the wire and the client CPU time of one append and one
// read of the log service at addr. The service must run in another process, with
// an empty log and without an append cap that limits the calls.
func Log(addr string, facts measure.Facts) ([]*measure.Series, error) {
	appends, err := appendCost(addr, facts)
	if err != nil {
		return nil, err
	}
	reads, err := readCost(addr, facts)
	if err != nil {
		return nil, err
	}
	return append(appends, reads...), nil
}

// logCall holds the series of one kind of call.
type logCall struct {
	bytes, cpu *measure.Series
}

func newLogCall(name, quantity string, facts measure.Facts) *logCall {
	return &logCall{
		bytes: &measure.Series{Name: name + "-bytes", Quantity: "bytes on the wire of " + quantity, Unit: "B", Facts: facts},
		cpu:   &measure.Series{Name: name + "-cpu", Quantity: "client processor time of " + quantity, Unit: "ns", Facts: facts},
	}
}

// measure adds the cost of a call at one size to both series.
func (l *logCall) measure(size int, wire *measure.WireCounter, call func() error) error {
	if err := call(); err != nil { // connects
		return err
	}
	before := wire.Total()
	for range callsForBytes {
		if err := call(); err != nil {
			return err
		}
	}
	l.bytes.Add(float64(size), float64(wire.Total()-before)/callsForBytes)
	cpu, err := measure.CPUPerCall(callsForCPU, call)
	if err != nil {
		return err
	}
	l.cpu.Add(float64(size), cpu)
	return nil
}

func newCountedClient(addr string) (*platformlog.Client, *measure.WireCounter) {
	wire := &measure.WireCounter{}
	return platformlog.NewClient(platformlog.ClientConfig{Addr: addr, Dial: wire.Dial, LongPoll: time.Millisecond}), wire
}

func appendCost(addr string, facts measure.Facts) ([]*measure.Series, error) {
	client, wire := newCountedClient(addr)
	defer client.Close()
	l := newLogCall("log-append", "one append, by payload bytes", facts)
	for _, size := range payloadSizes {
		payload := make([]byte, size)
		call := func() error { return appendOnce(client, "measure/append", payload) }
		if err := l.measure(size, wire, call); err != nil {
			return nil, fmt.Errorf("cost: append of %d bytes: %w", size, err)
		}
	}
	return []*measure.Series{l.bytes, l.cpu}, nil
}

func readCost(addr string, facts measure.Facts) ([]*measure.Series, error) {
	client, wire := newCountedClient(addr)
	defer client.Close()
	l := newLogCall("log-read", "one read, by records of "+strconv.Itoa(recordBytes)+" bytes", facts)
	const stream = platformlog.Stream("measure/read")
	for range batchSizes[len(batchSizes)-1] {
		if err := appendOnce(client, stream, make([]byte, recordBytes)); err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
	}
	for _, size := range batchSizes {
		call := func() error { return readOnce(client, stream, size) }
		if err := l.measure(size, wire, call); err != nil {
			return nil, fmt.Errorf("cost: read of %d records: %w", size, err)
		}
	}
	return []*measure.Series{l.bytes, l.cpu}, nil
}

func appendOnce(log platformlog.Log, stream platformlog.Stream, payload []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
	defer cancel()
	_, err := log.Append(ctx, stream, payload)
	return err
}

// readOnce reads exactly n records from the start of a stream, or polls the end of
// the stream if n is 0.
func readOnce(log platformlog.Log, stream platformlog.Stream, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
	defer cancel()
	from, limit := platformlog.Offset(1), n
	if n == 0 {
		from, limit = platformlog.Offset(batchSizes[len(batchSizes)-1]+1), 1
	}
	batch, err := log.Read(ctx, stream, from, limit)
	if err == nil && len(batch.Records) != n {
		err = fmt.Errorf("read %d records, want %d; start the stand-in with an empty log", len(batch.Records), n)
	}
	return err
}
