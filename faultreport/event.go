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
	KindLoad         = "load"          // the load starts
	KindDrained      = "drained"       // the daemon of a drained instance has ended
	KindDrainRefused = "drain-refused" // the order to drain was not taken
	KindSkipped      = "skipped"       // an action was left out
)

// Event is one thing that was done to a deployment.
type Event struct {
	Time       time.Time
	Deployment string
	Kind       string
	Subject    string
	Detail     string // losses of faults of instances
}

const eventFields = 5

// ReadEvents reads the events of one deployment.
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
			return nil, fmt.Errorf("faultreport: event %q has no time: %w", row, err)
		}
		if row[1] == deployment {
			events = append(events, Event{Time: time.Unix(0, ns), Deployment: row[1], Kind: row[2], Subject: row[3], Detail: row[4]})
		}
	}
	return events, nil
}

// ends maps the kinds of faults of instances to the kinds that end them.
var ends = map[string]string{
	string(faultplan.Kill):        string(faultplan.Start),
	string(faultplan.PauseDaemon): string(faultplan.ResumeDaemon),
	string(faultplan.PauseTarget): string(faultplan.ResumeTarget),
	string(faultplan.Drain):       string(faultplan.Start),
	string(faultplan.Cut):         string(faultplan.Heal),
}

// Span is the time of one fault.
type Span struct {
	Kind    string
	Subject string
	Two     bool // two instances of the cell were taken at a time
	From    time.Time
	To      time.Time
}

// spans pairs the events that begin and end faults of instances and of the log.
func spans(events []Event, end time.Time) []Span {
	var all []Span
	for i, e := range events {
		last, known := ends[e.Kind]
		isLog := e.Kind == string(faultplan.Log) && e.Detail != "{}"
		if !known && !isLog {
			continue
		}
		if isLog {
			last = e.Kind
		}
		s := Span{Kind: e.Kind, Subject: e.Subject, Two: e.Detail == string(faultplan.Two), From: e.Time, To: end}
		for _, next := range events[i+1:] {
			if next.Subject == e.Subject && next.Kind == last {
				s.To = next.Time
				break
			}
		}
		all = append(all, s)
	}
	return all
}
