package driver

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// append appends one record to the stream and posts the outcome as an event.
func (d *Driver) append(ctx context.Context, a cell.Append) {
	appendCtx, cancel := context.WithTimeout(ctx, d.cfg.AppendTimeout)
	defer cancel()
	offset, err := d.cfg.Log.Append(appendCtx, d.cfg.Stream, a.Record.AppendTo(nil))
	d.post(ctx, cell.Appended{Nonce: a.Nonce, Offset: offset, Outcome: appendOutcome(err)})
}

// appendOutcome returns the outcome of an append that returned err. Only an
// UnavailableError guarantees that the append had no effect; after any other
// error the record may still be added to the stream.
func appendOutcome(err error) cell.AppendOutcome {
	if err == nil {
		return cell.AppendDone
	}
	var unavailable *platformlog.UnavailableError
	if errors.As(err, &unavailable) {
		return cell.AppendFailed
	}
	return cell.AppendUnknown
}
