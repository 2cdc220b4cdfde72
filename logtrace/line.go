package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one structured log line of a daemon. The trace command writes the
// fields to JSON under their Go names.
type Line struct {
	At       time.Time
	Instance string
	Event    int
	Message  string
	Fields   map[string]any // other fields, without level and remedy
}

// requestField holds the id of the request that a line is about.
const requestField = "request"

// maxLineBytes is far above the length of the longest log line.
const maxLineBytes = 1 << 20

// Read reads log lines. It skips text before the first brace of a line, such as
// a log collector's prefix, and lines without a time and an event number.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		if line, ok := parse(text[begin:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	ts, hasTime := fields["ts"].(float64)
	event, hasEvent := fields["event"].(float64)
	if !hasTime || !hasEvent {
		return Line{}, false
	}
	l := Line{At: time.UnixMicro(int64(ts * 1e6)).UTC(), Event: int(event), Fields: fields}
	l.Instance, _ = fields["instance"].(string) // empty if it is missing
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "event", "instance", "msg", "level", "remedy"} {
		delete(fields, name)
	}
	return l, true
}

func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// String formats the line with its fields sorted by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %d %s", l.At.Format("15:04:05.000"), l.Instance, l.Event, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
