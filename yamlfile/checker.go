package yamlfile

import (
	"fmt"
	"net/netip"
	"time"
)

// Checker collects the errors that checks of a decoded file find.
type Checker struct {
	file *File
	errs Errors
}

// NewChecker returns a Checker whose errors have their positions in file.
func NewChecker(file *File) *Checker { return &Checker{file: file} }

// Err returns all errors so far as Errors, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.errs) == 0 {
		return nil
	}
	return c.errs
}

// Fail records an error of a field, given by its path, such as lease.duration.
func (c *Checker) Fail(field, problem, remedy string) {
	c.errs = append(c.errs, &FieldError{
		File:    c.file.path,
		Line:    c.file.Line(field),
		Field:   field,
		Problem: problem,
		Remedy:  remedy,
	})
}

// Required checks that value is not empty and reports whether it is valid.
func (c *Checker) Required(field, value, remedy string) bool {
	if value == "" {
		c.Fail(field, "the field is missing or empty", remedy)
		return false
	}
	return true
}

// Name checks that value is a valid name, see IsName. The error message says that
// it is the name of the given kind of object.
func (c *Checker) Name(field, value, kind string) {
	if !c.Required(field, value, "set the name of the "+kind) {
		return
	}
	if !IsName(value) {
		c.Fail(field,
			fmt.Sprintf("%q is not a name", value),
			fmt.Sprintf("use at most %d lower-case letters, digits and hyphens, starting with a letter", MaxNameLength))
	}
}

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

// IsName reports whether s is a valid name: at most MaxNameLength lower-case
// letters, digits and hyphens, starting with a letter.
func IsName(s string) bool {
	if s == "" || len(s) > MaxNameLength || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Addr checks that value is an IP address and a port other than 0.
func (c *Checker) Addr(field, value string) {
	const remedy = "write an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080"
	if !c.Required(field, value, remedy) {
		return
	}
	addr, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.Fail(field, fmt.Sprintf("%q is not IP:port", value), remedy)
	case addr.Port() == 0:
		c.Fail(field, "port 0 can't be reached by others", "write the port that others connect to")
	}
}

// Duration checks that lowest <= value <= highest and reports whether it holds.
func (c *Checker) Duration(field string, value, lowest, highest time.Duration) bool {
	if lowest <= value && value <= highest {
		return true
	}
	c.Fail(field,
		fmt.Sprintf("%v is out of range", value),
		fmt.Sprintf("write a duration with its unit from %v to %v", lowest, highest))
	return false
}

// Int checks that lowest <= value <= highest. The unit is part of the error
// message and may be empty.
func (c *Checker) Int(field string, value, lowest, highest int64, unit string) {
	if lowest <= value && value <= highest {
		return
	}
	c.Fail(field,
		fmt.Sprintf("%d is out of range", value),
		withUnit(fmt.Sprintf("write a whole number from %d to %d", lowest, highest), unit))
}

func withUnit(s, unit string) string {
	if unit == "" {
		return s
	}
	return s + " (" + unit + ")"
}

// Fraction checks that lowest <= value <= highest.
func (c *Checker) Fraction(field string, value, lowest, highest float64) {
	if lowest <= value && value <= highest {
		return
	}
	c.Fail(field,
		fmt.Sprintf("%v is out of range", value),
		fmt.Sprintf("write a number from %v to %v", lowest, highest))
}
