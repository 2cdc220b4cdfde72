package admin

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
)

// LogRefused returns a function for Handler.Refused that logs each refusal.
func LogRefused(logger *zap.Logger) func(path, remote string, e *Error) {
	return func(path, remote string, e *Error) {
		logevent.Log(logger, logevent.CommandRefused,
			zap.String("path", path),
			zap.String("remote", remote),
			zap.Int("status", e.Status),
			zap.String("reason", e.Problem))
	}
}
