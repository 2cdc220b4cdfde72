package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/standin/target"
)

const (
	collectTimeout = 10 * time.Second

	// collectOverlap is the number of records that are read again, since they
	// may have ended since the last read.
	collectOverlap = 4096
)

// Collector gathers the records of targets. Poll it during a run, so that a
// target that is lost leaves its records up to the last poll.
type Collector struct {
	client  *fasthttp.Client
	targets []*collected
}

// collected is what was read from one target.
type collected struct {
	addr    string
	process string // start of the process that the runs from base on are of
	base    int
	runs    []target.Run
	failed  error // of the last poll
	lost    bool  // records may be missing
}

// NewCollector returns a collector of the targets at addrs.
func NewCollector(addrs []string) *Collector {
	c := &Collector{client: &fasthttp.Client{NoDefaultUserAgentHeader: true}}
	for _, addr := range addrs {
		c.targets = append(c.targets, &collected{addr: addr})
	}
	return c
}

// Poll reads the new records of all targets. Its error joins those of the
// targets that did not answer.
func (c *Collector) Poll() error {
	return c.pollAll(func(t *collected) int { return max(t.base, len(t.runs)-collectOverlap) })
}

// Finish reads all records of the targets' present processes again.
func (c *Collector) Finish() error {
	return c.pollAll(func(t *collected) int { return t.base })
}

func (c *Collector) pollAll(first func(*collected) int) error {
	var errs []error
	for _, t := range c.targets {
		t.failed = c.poll(t, first(t))
		errs = append(errs, t.failed)
	}
	return errors.Join(errs...)
}

// poll reads the records from an index on, or all of a new process.
func (c *Collector) poll(t *collected, first int) error {
	process, runs, err := c.read(t.addr, first-t.base)
	if err != nil {
		return fmt.Errorf("bench: records of target %s: %w", t.addr, err)
	}
	if process == t.process || t.process == "" {
		t.process = process
		t.runs = append(t.runs[:first:first], runs...)
		return nil
	}
	t.process, t.base, t.lost = process, len(t.runs), true
	return c.poll(t, t.base)
}

func (c *Collector) read(addr string, from int) (process string, runs []target.Run, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/runs?from=" + strconv.Itoa(from))
	if err := c.client.DoTimeout(req, resp, collectTimeout); err != nil {
		return "", nil, err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return "", nil, fmt.Errorf("status %d; is it a target stand-in?", status)
	}
	runs, err = decodeRuns(resp.Body())
	return string(resp.Header.Peek(target.HeaderProcess)), runs, err
}

func decodeRuns(body []byte) ([]target.Run, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var runs []target.Run
	for {
		var r target.Run
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) {
			return runs, nil
		}
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
}

// Runs returns all records and whether they are known to be complete.
func (c *Collector) Runs() (runs []target.Run, complete bool) {
	complete = true
	for _, t := range c.targets {
		runs = append(runs, t.runs...)
		complete = complete && t.failed == nil && !t.lost
	}
	return runs, complete
}
