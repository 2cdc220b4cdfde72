package cost

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/platformlog"
)

var (
	configServices = []int{10, 100, 500, 1500, 3000}
	configRules    = []int{1, 2, 4, 8, 16}
	pulledChanges  = []int{1, 4, 16, 64, 256}
)

// Config measures the size of configuration records, pulls and snapshots, the heap
// of a daemon's configuration, and the CPU time of a replay and of one change.
func Config(facts measure.Facts) ([]*measure.Series, error) {
	record := &measure.Series{Name: "config-record-bytes", Quantity: "payload of a change of one service, by rules for requests", Unit: "B", Facts: facts}
	for _, n := range configRules {
		payload, err := changePayload(0, n)
		if err != nil {
			return nil, err
		}
		record.Add(float64(n), float64(len(payload)))
	}
	pull, err := pullBytes(facts)
	if err != nil {
		return nil, err
	}
	c := newConfigSeries(facts)
	for _, n := range configServices {
		if err := c.add(n); err != nil {
			return nil, err
		}
	}
	return []*measure.Series{record, pull, c.snapshot, c.memory, c.replay, c.apply}, nil
}

// pullBytes measures the size of a pull of changes from a peer, request and
// response together.
func pullBytes(facts measure.Facts) (*measure.Series, error) {
	s := &measure.Series{Name: "config-pull-bytes", Quantity: "bodies of a pull of changes from a peer, by changes", Unit: "B", Facts: facts}
	request, err := (&config.Pull{From: 1 << 20}).MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	for _, n := range pulledChanges {
		records, err := changes(n)
		if err != nil {
			return nil, err
		}
		response := config.PullAnswer{Ready: true}
		for _, r := range records {
			response.Records = append(response.Records, config.RawRecord{Offset: r.Offset, Time: r.Time, Payload: r.Payload})
		}
		body, err := response.MarshalMsg(nil)
		if err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		s.Add(float64(n), float64(len(request)+len(body)))
	}
	return s, nil
}

// configSeries are the series by the number of services.
type configSeries struct {
	snapshot, memory, replay, apply *measure.Series
}

func newConfigSeries(facts measure.Facts) *configSeries {
	return &configSeries{
		snapshot: &measure.Series{Name: "config-snapshot-bytes", Quantity: "snapshot of the configuration, by services", Unit: "B", Facts: facts},
		memory:   &measure.Series{Name: "config-memory-bytes", Quantity: "heap of a daemon's configuration, by services", Unit: "B", Facts: facts},
		replay:   &measure.Series{Name: "config-replay-cpu", Quantity: "processor time of decoding a snapshot and folding one change of each service, by services", Unit: "ns", Facts: facts},
		apply:    &measure.Series{Name: "config-change-cpu", Quantity: "processor time of putting one change into force, by services", Unit: "ns", Facts: facts},
	}
}

func (c *configSeries) add(services int) error {
	records, err := changes(services)
	if err != nil {
		return err
	}
	body, err := replayRecords(records).Snapshot().MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("cost: snapshot: %w", err)
	}
	size := float64(services)
	c.snapshot.Add(size, float64(len(body)))
	memory, err := followerHeap(services)
	if err != nil {
		return err
	}
	c.memory.Add(size, memory)
	replay, err := measure.CPUPerCall(3, func() error {
		var s config.Snapshot
		if _, err := s.UnmarshalMsg(body); err != nil {
			return err
		}
		replayRecords(records)
		return nil
	})
	if err != nil {
		return err
	}
	c.replay.Add(size, replay)
	apply, err := changeTime(records)
	c.apply.Add(size, apply)
	return err
}

// changePayload returns the payload of the record that publishes a service with the
// given number of rules.
func changePayload(service, rules int) ([]byte, error) {
	s := spec(service)
	rule := s.Methods[0]
	rule.PathPrefix = "surveyors/availability"
	s.Methods = s.Methods[:0]
	for range rules {
		s.Methods = append(s.Methods, rule)
	}
	change, err := config.NewPublish(&s, 0, "anna@perizia.example", 1<<60)
	if err != nil {
		return nil, err
	}
	return change.Encode()
}

// changes returns one change of each service.
func changes(services int) ([]platformlog.Record, error) {
	records := make([]platformlog.Record, services)
	for i := range records {
		payload, err := changePayload(i, 2)
		if err != nil {
			return nil, err
		}
		records[i] = platformlog.Record{Offset: platformlog.Offset(i + 1), Time: 1_700_000_000_000_000_000, Payload: payload}
	}
	return records, nil
}

// replayRecords applies the records to an empty configuration state.
func replayRecords(records []platformlog.Record) *config.State {
	s := config.NewState(config.Schema)
	for _, r := range records {
		s.Apply(r.Offset, r.Time, r.Payload)
	}
	return s
}

// newFollower returns the configuration core of a daemon that has read the records.
func newFollower(records []platformlog.Record) *config.Core {
	core := config.NewCore(config.DefaultParameters(time.Hour))
	batch := platformlog.Batch{Records: records, Earliest: 1, Next: platformlog.Offset(len(records) + 1)}
	core.Step(config.LogRead{From: 1, Batch: batch}, 1)
	return core
}

// followerHeap returns the heap of a daemon's configuration core, including the
// records that it keeps.
func followerHeap(services int) (float64, error) {
	var err error
	heap := heapOf(func() any {
		var records []platformlog.Record
		records, err = changes(services)
		return newFollower(records)
	})
	return heap, err
}

// changeTime measures the CPU time of a daemon's configuration core for one more
// change.
func changeTime(records []platformlog.Record) (float64, error) {
	core := newFollower(records)
	next := platformlog.Offset(len(records) + 1)
	version := platformlog.Offset(1)
	return measure.CPUPerCall(20, func() error {
		s := spec(0)
		change, err := config.NewPublish(&s, version, "anna@perizia.example", uint64(next))
		if err != nil {
			return err
		}
		payload, err := change.Encode()
		if err != nil {
			return err
		}
		record := platformlog.Record{Offset: next, Time: 1_700_000_000_000_000_000, Payload: payload}
		batch := platformlog.Batch{Records: []platformlog.Record{record}, Earliest: 1, Next: next + 1}
		core.Step(config.LogRead{From: next, Batch: batch}, 1)
		version = next
		next++
		return nil
	})
}
