// Package logevent is the catalogue of the numbered events that daemons log.
// Each event has a number, a name, a level, a meaning and a remedy; the page
// docs/LOG-EVENTS.md is generated from the catalogue.
//
// Numbers: 1xxx daemon, 2xxx cell, 3xxx request path, 4xxx configuration,
// 5xxx log service, 6xxx target, 7xxx the daemon on the users' platform (the
// sidecar). To add an event, add a variable to the file of its range and run
// go test ./logevent -update. Numbers are never reused, and a test reports
// events that no package logs.
package logevent

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Meaning string
	Remedy  string // action for the operator; empty for events that need none
}

// Log logs the event with its number. Warnings and errors include the remedy.
// Fields must not contain secrets or request bodies.
func Log(logger *zap.Logger, e *Event, fields ...zap.Field) {
	entry := logger.Check(e.Level, e.Name)
	if entry == nil {
		return
	}
	all := make([]zap.Field, 0, len(fields)+2)
	all = append(all, zap.Int("event", e.Number))
	all = append(all, fields...)
	if e.Level >= zapcore.WarnLevel {
		all = append(all, zap.String("remedy", e.Remedy))
	}
	entry.Write(all...)
}
