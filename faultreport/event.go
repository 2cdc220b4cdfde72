package faultreport

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
)

// Kinds of events besides those of package faultplan.
const (
	KindLoad         = "load"          // start of the load
	KindDrained      = "drained"       // exit of the daemon of a drained instance
	KindDrainRefused = "drain-refused" // the daemon rejected the drain command
	KindSkipped      = "skipped"       // an action of the plan was not executed
)

// Event is one entry of a run's event log: an action on a deployment or its result.
type Event struct {
	Time       time.Time
	Deployment string
	Kind       string
	Subject    string
	Detail     string // for a fault of an instance: single or double loss; for the log: its faults as JSON
}

const eventFields = 5

// ReadEvents reads a CSV event log and returns the events of one deployment.
func ReadEvents(r io.Reader, deployment string) ([]Event, error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = eventFields
	c.LazyQuotes = true
	rows, err := c.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("faultreport: the events are malformed: %w", err)
	}
	var events []Event
	for _, row := range rows {
		ns, err := strconv.ParseInt(row[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("faultreport: event %q does not begin with a time in Unix nanoseconds: %w", row, err)
		}
		if row[1] == deployment {
			events = append(events, Event{Time: time.Unix(0, ns), Deployment: row[1], Kind: row[2], Subject: row[3], Detail: row[4]})
		}
	}
	return events, nil
}

// endKinds maps each kind of instance fault to the kind of event that ends it.
var endKinds = map[string]string{
	string(faultplan.Kill):        string(faultplan.Start),
	string(faultplan.PauseDaemon): string(faultplan.ResumeDaemon),
	string(faultplan.PauseTarget): string(faultplan.ResumeTarget),
	string(faultplan.Drain):       string(faultplan.Start),
	string(faultplan.Cut):         string(faultplan.Heal),
}

// FaultSpan is the period of one fault.
type FaultSpan struct {
	Kind       string
	Subject    string
	DoubleLoss bool // two instances of the cell failed at the same time
	From       time.Time
	To         time.Time
}

// faultSpans pairs the events that begin and end faults of instances and of the
// log. A fault without an ending event lasts until end.
func faultSpans(events []Event, end time.Time) []FaultSpan {
	var all []FaultSpan
	for i, e := range events {
		endKind, known := endKinds[e.Kind]
		isLog := e.Kind == string(faultplan.Log) && e.Detail != "{}"
		if !known && !isLog {
			continue
		}
		if isLog {
			endKind = e.Kind
		}
		s := FaultSpan{Kind: e.Kind, Subject: e.Subject, DoubleLoss: e.Detail == string(faultplan.DoubleLoss), From: e.Time, To: end}
		for _, next := range events[i+1:] {
			if next.Subject == e.Subject && next.Kind == endKind {
				s.To = next.Time
				break
			}
		}
		all = append(all, s)
	}
	return all
}
