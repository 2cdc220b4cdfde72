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

	// collectOverlap is the number of latest records that each poll reads again,
	// since runs that were in progress at the last poll may have ended.
	collectOverlap = 4096
)

// Collector reads the run records of targets. Poll it during a run: if a target
// process exits, only its records up to the last poll remain.
type Collector struct {
	client  *fasthttp.Client
	targets []*targetRecords
}

// targetRecords holds the records that were read from one target.
type targetRecords struct {
	addr       string
	process    string // identifies the current process by its start time
	base       int    // index in runs of the current process's first run
	runs       []target.Run
	lastErr    error // result of the last poll
	incomplete bool  // the process has restarted, so records may be missing
}

// NewCollector returns a collector of the targets at addrs.
func NewCollector(addrs []string) *Collector {
	c := &Collector{client: &fasthttp.Client{NoDefaultUserAgentHeader: true}}
	for _, addr := range addrs {
		c.targets = append(c.targets, &targetRecords{addr: addr})
	}
	return c
}

// Poll reads the new records of all targets. It returns the joined errors of
// the targets whose records could not be read.
func (c *Collector) Poll() error {
	return c.pollAll(func(t *targetRecords) int { return max(t.base, len(t.runs)-collectOverlap) })
}

// Finish reads all records of the targets' current processes again.
func (c *Collector) Finish() error {
	return c.pollAll(func(t *targetRecords) int { return t.base })
}

func (c *Collector) pollAll(first func(*targetRecords) int) error {
	var errs []error
	for _, t := range c.targets {
		t.lastErr = c.poll(t, first(t))
		errs = append(errs, t.lastErr)
	}
	return errors.Join(errs...)
}

// poll reads the records from index first on. If the target has restarted, it
// keeps the records of the earlier process and reads all records of the new one.
func (c *Collector) poll(t *targetRecords, first int) error {
	process, runs, err := c.read(t.addr, first-t.base)
	if err != nil {
		return fmt.Errorf("bench: records of target %s: %w", t.addr, err)
	}
	if process == t.process || t.process == "" {
		t.process = process
		t.runs = append(t.runs[:first:first], runs...)
		return nil
	}
	t.process, t.base, t.incomplete = process, len(t.runs), true
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

// Runs returns all records that were read, and whether they are complete: the
// last poll of every target succeeded and no target has restarted.
func (c *Collector) Runs() (runs []target.Run, complete bool) {
	complete = true
	for _, t := range c.targets {
		runs = append(runs, t.runs...)
		complete = complete && t.lastErr == nil && !t.incomplete
	}
	return runs, complete
}
