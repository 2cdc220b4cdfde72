package yamlfile_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

func Example() {
	var limits struct {
		Timeout time.Duration `yaml:"timeout"`
		Slots   int           `yaml:"slots"`
	}
	file, err := yamlfile.Decode("limits.yaml", []byte("timeout: 2h\nslots: 0\n"), &limits)
	if err != nil {
		fmt.Println(err)
		return
	}
	c := yamlfile.NewChecker(file)
	c.Duration("timeout", limits.Timeout, time.Millisecond, time.Minute)
	c.Int("slots", int64(limits.Slots), 1, 100, "requests at once")
	fmt.Println(c.Err())
	// Output:
	// limits.yaml:1: timeout: 2h0m0s is out of range; write a duration with its unit from 1ms to 1m0s
	// limits.yaml:2: slots: 0 is out of range; write a whole number from 1 to 100 (requests at once)
}
