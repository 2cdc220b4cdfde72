package driver

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// append adds one record to the stream and reports what is known of it.
func (d *Driver) append(ctx context.Context, a cell.Append) {
	actx, cancel := context.WithTimeout(ctx, d.cfg.AppendTimeout)
	defer cancel()
	offset, err := d.cfg.Log.Append(actx, d.cfg.Stream, a.Record.AppendTo(nil))
	d.post(ctx, cell.Appended{Nonce: a.Nonce, Offset: offset, Outcome: appendOutcome(err)})
}

// appendOutcome classifies err. Only an explicit "had no effect" counts as a
// failure; everything else may still land.
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
