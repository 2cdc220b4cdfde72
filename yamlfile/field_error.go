package yamlfile

import (
	"fmt"
	"strings"
)

// FieldError is one error in a file.
type FieldError struct {
	File    string
	Line    int    // counted from 1
	Field   string // path of the field, such as lease.duration; "" for the whole file
	Problem string
	Remedy  string
}

// Error formats the error as file:line: field: problem; remedy.
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

// Errors lists all errors in one or more files. A non-nil error of this type is
// never empty.
type Errors []*FieldError

// Error formats each error on its own line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
