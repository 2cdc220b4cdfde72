package audit

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/platformlog"
)

// ReadConfig returns the entries of the configuration stream in log order and
// the state at the end of the stream. If the log has dropped records that the
// state depends on, the state is nil and the error is a *config.TruncatedError.
func ReadConfig(ctx context.Context, log platformlog.Log) ([]Entry, *config.State, error) {
	var entries []Entry
	tail := config.NewTail(log, func(v config.Verdict) {
		entries = append(entries, configEntry(&v))
	})
	err := tail.Advance(ctx)
	return entries, tail.State(), err
}

func configEntry(v *config.Verdict) Entry {
	e := Entry{
		Time:   time.Unix(0, v.Time),
		Stream: config.Stream,
		Offset: v.Offset,
		Kind:   configKind(v),
	}
	if v.Change != nil {
		e.Service = v.Change.Service
		e.Author = v.Change.Author
	}
	e.Reason = configReason(v)
	return e
}

func configKind(v *config.Verdict) Kind {
	switch v.Outcome {
	case config.Accepted:
		return ConfigAccepted
	case config.Rejected:
		return ConfigRejected
	case config.SnapshotRecord:
		return ConfigSnapshot
	case config.AlreadyApplied:
		return ConfigRecorded
	}
	return ConfigUndecodable
}

func configReason(v *config.Verdict) string {
	switch {
	case v.Outcome == config.Rejected && v.CurrentEntry != nil:
		return fmt.Sprintf("%v based on version %d, but %s had published version %d", v.Change.Kind, v.Change.ExpectedVersion, v.CurrentEntry.Author, v.CurrentEntry.Version)
	case v.Outcome == config.Rejected:
		return fmt.Sprintf("%v based on version %d, which the service does not have", v.Change.Kind, v.Change.ExpectedVersion)
	case v.Err != nil:
		return v.Err.Error()
	case v.Change != nil && v.Outcome == config.SnapshotRecord:
		return fmt.Sprintf("covers offset %d", v.Change.ExpectedVersion)
	case v.Change != nil:
		return fmt.Sprintf("%v based on version %d", v.Change.Kind, v.Change.ExpectedVersion)
	}
	return ""
}
