package probe

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Loss is one loss of an instance: its daemon and its target are gone.
type Loss struct {
	Time     time.Time
	Instance string
	Role     string // leader, deputy or member
	Log      string // up or down
}

const lossFields = 4

// ReadLosses reads lines of Unix nanoseconds, instance, role and state of the log.
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
