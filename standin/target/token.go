package target

import (
	"errors"
	"strconv"
	"strings"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

var (
	errToken = errors.New("token is not of the form <term>.<seq>")
	errRange = errors.New("range is not of the form <first>-<last> in hexadecimal")
)

func parseToken(s string) (cell.Token, error) {
	term, seq, found := strings.Cut(s, ".")
	if !found {
		return cell.Token{}, errToken
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return cell.Token{}, errToken
	}
	q, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		return cell.Token{}, errToken
	}
	return cell.Token{Term: t, Seq: q}, nil
}

func parseRange(s string) (keyspace.Range, error) {
	first, last, found := strings.Cut(s, "-")
	if !found {
		return keyspace.Range{}, errRange
	}
	return parsePoints(first, last)
}

func parsePoints(first, last string) (keyspace.Range, error) {
	f, err := strconv.ParseUint(first, 16, 64)
	if err != nil {
		return keyspace.Range{}, errRange
	}
	l, err := strconv.ParseUint(last, 16, 64)
	if err != nil || l < f {
		return keyspace.Range{}, errRange
	}
	return keyspace.Range{First: keyspace.Point(f), Last: keyspace.Point(l)}, nil
}
