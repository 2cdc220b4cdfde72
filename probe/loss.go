package probe

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Loss is the loss of an instance with its daemon and its target.
type Loss struct {
	Time     time.Time
	Instance string
	Role     string // of the daemon in its cell: leader, deputy or member
	Log      string // state of the platform's log at that time: up or down
}

const lossFields = 4

// ReadLosses reads CSV lines with the time in Unix nanoseconds, the instance, its
// role and the state of the log.
func ReadLosses(r io.Reader) ([]Loss, error) {
	rows, err := readRows(r, lossFields)
	if err != nil {
		return nil, err
	}
	losses := make([]Loss, 0, len(rows))
	for _, row := range rows {
		ns, err := strconv.ParseInt(row[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("probe: loss %q has a malformed time; write Unix nanoseconds", row)
		}
		losses = append(losses, Loss{Time: time.Unix(0, ns), Instance: row[1], Role: row[2], Log: row[3]})
	}
	return losses, nil
}
