package celltest

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// WriteTrace writes s in the text format that ReadTrace parses.
func WriteTrace(w io.Writer, s *Schedule) error {
	if _, err := fmt.Fprintf(w, "seed %d\nprofile %s\nsize %d\n", s.Seed, s.Profile, s.Size); err != nil {
		return err
	}
	if s.Rule != "" {
		if _, err := fmt.Fprintf(w, "rule %s\n", s.Rule); err != nil {
			return err
		}
	}
	for _, f := range s.Faults {
		if _, err := fmt.Fprintf(w, "fault %v\n", f); err != nil {
			return err
		}
	}
	return nil
}

// ReadTrace parses a schedule written by WriteTrace. Lines that start with # are
// comments.
func ReadTrace(r io.Reader) (*Schedule, error) {
	s := &Schedule{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.parseLine(line); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return s, lines.Err()
}

func (s *Schedule) parseLine(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	var err error
	switch word {
	case "seed":
		s.Seed, err = strconv.ParseInt(rest, 10, 64)
	case "profile":
		s.Profile = Profile(rest)
	case "size":
		s.Size, err = strconv.Atoi(rest)
	case "rule":
		s.Rule = rest
	case "fault":
		var f Fault
		f, err = parseFault(rest)
		s.Faults = append(s.Faults, f)
	default:
		err = fmt.Errorf("celltest: unknown keyword %q; use seed, profile, size, rule or fault", word)
	}
	return err
}

func parseFault(text string) (Fault, error) {
	var f Fault
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		if err := f.set(key, value); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fault) set(key, value string) error {
	var err error
	switch key {
	case "at":
		f.At, err = time.ParseDuration(value)
	case "dur":
		f.Dur, err = time.ParseDuration(value)
	case "kind":
		f.Kind, err = parseFaultKind(value)
	case "from":
		f.From, err = parseNodeSet(value)
	case "to":
		f.To, err = parseNodeSet(value)
	case "amount":
		f.Amount, err = time.ParseDuration(value)
	case "percent":
		f.Percent, err = strconv.Atoi(value)
	default:
		err = fmt.Errorf("celltest: unknown field %q in a fault; use at, dur, kind, from, to, amount or percent", key)
	}
	return err
}
