package yamlfile

import (
	"fmt"
	"strings"
)

// FieldError is one fault of a file.
type FieldError struct {
	File    string
	Line    int    // counted from 1
	Field   string // path of the field, such as lease.duration; "" for the whole file
	Problem string
	Remedy  string
}

// Error formats the fault as file:line: field: problem; remedy.
func (e *FieldError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Field != "" {
		b.WriteString(e.Field)
		b.WriteString(": ")
	}
	b.WriteString(e.Problem)
	b.WriteString("; ")
	b.WriteString(e.Remedy)
	return b.String()
}

// Errors lists all faults of one or more files. It is never empty when it is
// used as an error.
type Errors []*FieldError

// Error formats one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
