package yamlfile

import (
	"fmt"
	"net/netip"
	"time"
)

// Checker collects the faults that checks of a decoded file find.
type Checker struct {
	file *File
	errs Errors
}

// NewChecker returns a Checker that reports positions in file.
func NewChecker(file *File) *Checker { return &Checker{file: file} }

// Err returns the faults found so far as Errors, or nil if there is none.
func (c *Checker) Err() error {
	if len(c.errs) == 0 {
		return nil
	}
	return c.errs
}

// Fail records a fault of field.
func (c *Checker) Fail(field, problem, remedy string) {
	c.errs = append(c.errs, &FieldError{
		File:    c.file.path,
		Line:    c.file.Line(field),
		Field:   field,
		Problem: problem,
		Remedy:  remedy,
	})
}

// Required checks that value is not empty.
func (c *Checker) Required(field, value, remedy string) bool {
	if value == "" {
		c.Fail(field, "the field is missing or empty", remedy)
		return false
	}
	return true
}

// Name checks that value is a name of lower-case letters, digits and hyphens.
func (c *Checker) Name(field, value, what string) {
	if !c.Required(field, value, "set the name of the "+what) {
		return
	}
	if !IsName(value) {
		c.Fail(field,
			fmt.Sprintf("%q is not a name", value),
			fmt.Sprintf("use at most %d lower-case letters, digits and hyphens, starting with a letter", MaxNameLength))
	}
}

// MaxNameLength is the largest length of a name in bytes.
const MaxNameLength = 63

// IsName reports whether s is a name of lower-case letters, digits and
// hyphens that starts with a letter.
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

// Addr checks that value is an IP address and a port.
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

// Duration checks that least <= value <= most.
func (c *Checker) Duration(field string, value, least, most time.Duration) bool {
	if least <= value && value <= most {
		return true
	}
	c.Fail(field,
		fmt.Sprintf("%v is out of range", value),
		fmt.Sprintf("write a duration with its unit from %v to %v", least, most))
	return false
}

// Int checks that least <= value <= most. The unit may be empty.
func (c *Checker) Int(field string, value, least, most int64, unit string) {
	if least <= value && value <= most {
		return
	}
	c.Fail(field,
		fmt.Sprintf("%d is out of range", value),
		withUnit(fmt.Sprintf("write a whole number from %d to %d", least, most), unit))
}

func withUnit(s, unit string) string {
	if unit == "" {
		return s
	}
	return s + " (" + unit + ")"
}

// Fraction checks that least <= value <= most.
func (c *Checker) Fraction(field string, value, least, most float64) {
	if least <= value && value <= most {
		return
	}
	c.Fail(field,
		fmt.Sprintf("%v is out of range", value),
		fmt.Sprintf("write a number from %v to %v", least, most))
}
