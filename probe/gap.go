package probe

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Gap is a period without a valid response for one key.
type Gap struct {
	Key    string
	Start  time.Time // time of the last response before the gap
	Length time.Duration
	Before string // target that sent the last response before the gap
	After  string // target that sent the first response after it
}

// End returns the time of the first response after the gap.
func (g Gap) End() time.Time { return g.Start.Add(g.Length) }

func (g Gap) record() []string {
	return []string{
		g.Key,
		strconv.FormatInt(g.Start.UnixNano(), 10),
		strconv.FormatInt(int64(g.Length), 10),
		g.Before,
		g.After,
	}
}

const gapFields = 5

// ReadGaps reads the CSV that a Watcher has written.
func ReadGaps(r io.Reader) ([]Gap, error) {
	rows, err := readRows(r, gapFields)
	if err != nil {
		return nil, err
	}
	gaps := make([]Gap, 0, len(rows))
	for _, row := range rows {
		start, startErr := strconv.ParseInt(row[1], 10, 64)
		length, lengthErr := strconv.ParseInt(row[2], 10, 64)
		if startErr != nil || lengthErr != nil {
			return nil, fmt.Errorf("probe: gap %q has a malformed time; write nanoseconds", row)
		}
		gaps = append(gaps, Gap{
			Key:    row[0],
			Start:  time.Unix(0, start),
			Length: time.Duration(length),
			Before: row[3],
			After:  row[4],
		})
	}
	return gaps, nil
}

func readRows(r io.Reader, fields int) ([][]string, error) {
	c := csv.NewReader(r)
	c.FieldsPerRecord = fields
	rows, err := c.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("probe: file is malformed: %w; use a file that parsley-probe or measure-loss.sh has written", err)
	}
	return rows, nil
}
