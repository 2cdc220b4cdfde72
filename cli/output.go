package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// printJSON prints v as one indented JSON document.
func (c *runner) printJSON(v any) {
	enc := json.NewEncoder(c.env.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		fmt.Fprintln(c.env.Err, "parsley: the output can't be written:", err)
	}
}

func (c *runner) printf(format string, a ...any) { fmt.Fprintf(c.env.Out, format, a...) }

// table returns a writer that aligns tab-separated cells. The caller must flush
// it.
func (c *runner) table() *tabwriter.Writer { return tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0) }
