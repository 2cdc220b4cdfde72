package logevent

import (
	"fmt"
	"slices"

	"go.uber.org/zap/zapcore"
)

const (
	info    = zapcore.InfoLevel
	warning = zapcore.WarnLevel
	failure = zapcore.ErrorLevel
)

var catalogue = map[int]*Event{}

// define adds an event to the catalogue. It panics if the number is taken.
func define(number int, name string, level zapcore.Level, meaning, remedy string) *Event {
	if other, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("logevent: %d is both %q and %q", number, other.Name, name))
	}
	e := &Event{Number: number, Name: name, Level: level, Meaning: meaning, Remedy: remedy}
	catalogue[number] = e
	return e
}

// All returns the catalogue ordered by number.
func All() []*Event {
	events := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b *Event) int { return a.Number - b.Number })
	return events
}
