package config

import (
	"fmt"
	"testing"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// benchSpec returns a configuration of the size of a typical service file.
func benchSpec(i int) *service.Spec {
	s := testSpec(fmt.Sprintf("service-%06d", i), i)
	s.Key = service.KeyRule{Source: service.KeyPathSegment}
	s.Methods = []service.Method{
		{HTTPMethod: "GET", PathPrefix: "/surveys", Idempotent: true, Priority: 5, Timeout: 2e9},
		{HTTPMethod: "POST", PathPrefix: "/surveys", Priority: 6, Timeout: 5e9},
	}
	return s
}

func benchState(b *testing.B, services int) *State {
	st := NewState(Schema)
	for i := range services {
		st.Apply(platformlog.Offset(i+1), 1, benchPayload(b, i, 0))
	}
	return st
}

func benchPayload(b *testing.B, i int, expectedVersion platformlog.Offset) []byte {
	c, err := NewPublish(benchSpec(i), expectedVersion, "operator", uint64(i))
	if err != nil {
		b.Fatal(err)
	}
	payload, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return payload
}

// BenchmarkChange applies one change and puts it in force; bytes/change is the
// size of its record.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services, "services"), func(b *testing.B) {
			st := benchState(b, services)
			inForce := newInForce(st, true, nil, nil)
			version := platformlog.Offset(1)
			offset := st.Covered()
			var size int
			for b.Loop() {
				offset++
				payload := benchPayload(b, 0, version)
				size = len(payload)
				st.Apply(offset, 1, payload)
				version = offset
				inForce = newInForce(st, true, nil, inForce)
			}
			b.ReportMetric(float64(size), "bytes/change")
		})
	}
}

// BenchmarkSnapshot encodes a snapshot; bytes/service is its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services, "services"), func(b *testing.B) {
			st := benchState(b, services)
			var size int
			for b.Loop() {
				payload, err := st.Snapshot().encode(KindSnapshot, "operator", 1)
				if err != nil {
					b.Fatal(err)
				}
				size = len(payload)
			}
			b.ReportMetric(float64(size)/float64(services), "bytes/service")
		})
	}
}
