package bench

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/parsleystack/parsleystack/measure"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Execute runs the configured variants in turn, rounds times each, and returns
// one result for each variant. The CPU time of the processes is measured while
// a variant runs.
func Execute(ctx context.Context, configs []Config, rounds int, processes []measure.Process) ([]*Result, error) {
	var variants []*variant
	for _, c := range configs {
		if err := c.validate(); err != nil {
			return nil, err
		}
		variants = append(variants, newVariant(c, processes))
	}
	for range rounds {
		for _, v := range variants {
			v.round(ctx)
		}
	}
	var results []*Result
	for _, v := range variants {
		results = append(results, v.result())
	}
	return results, ctx.Err()
}

func (c *Config) validate() error {
	switch {
	case len(c.Addrs) == 0:
		return fmt.Errorf("bench: variant %q has no address; give one with --entry", c.Name)
	case len(c.Mix) == 0:
		return errors.New("bench: the mix is empty; give --mix or --op")
	case len(c.Phases) == 0:
		return errors.New("bench: no phase is given; give --phases")
	case c.Keys.Count < 1:
		return errors.New("bench: the number of keys must be at least 1")
	case c.Keys.Exponent != 0 && c.Keys.Exponent <= 1:
		return fmt.Errorf("bench: the Zipf exponent %g must be above 1, or 0 for uniform keys", c.Keys.Exponent)
	}
	return nil
}
