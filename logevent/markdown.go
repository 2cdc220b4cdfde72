package logevent

import (
	"fmt"
	"strings"
)

var sections = []struct {
	first int
	title string
}{
	{1000, "Daemon"},
	{2000, "Cell"},
	{3000, "Request path"},
	{4000, "Configuration"},
	{5000, "Log service"},
	{6000, "Target"},
	{7000, "Daemon on the users' platform"},
}

// Markdown returns the page docs/LOG-EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Daemons log in JSON, one event a line. The field `event` holds the number, `msg` the name.\n")
	b.WriteString("This page is generated: `go test ./logevent -update`.\n")
	for _, s := range sections {
		fmt.Fprintf(&b, "\n## %s\n\n| Number | Name | Level | Meaning | Remedy |\n|---|---|---|---|---|\n", s.title)
		for _, e := range All() {
			if e.Number/1000*1000 == s.first {
				fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Remedy)
			}
		}
	}
	return b.String()
}
