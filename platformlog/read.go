package platformlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, limit int) (Batch, error) {
	if err := ctx.Err(); err != nil {
		return Batch{}, err
	}
	wait := c.longPoll(ctx)
	resp, err := c.call(ctx, c.readRequest(stream, from, limit, wait), wait+longPollGrace)
	if err != nil {
		return Batch{}, readError(ctx, stream, err)
	}
	return parseRead(stream, from, resp)
}

// longPoll returns the time that the service may wait for a first record. It
// leaves a fifth of the context's time for the answer.
func (c *Client) longPoll(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return c.config.LongPoll
	}
	return max(0, min(c.config.LongPoll, time.Until(end)*4/5))
}

func (c *Client) readRequest(stream Stream, from Offset, limit int, wait time.Duration) *fasthttp.Request {
	uri := "http://" + c.config.Addr + logwire.Path(string(stream)) +
		"?" + logwire.QueryFrom + "=" + strconv.FormatUint(uint64(from), 10) +
		"&" + logwire.QueryLimit + "=" + strconv.Itoa(limit) +
		"&" + logwire.QueryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	req := &fasthttp.Request{}
	req.SetRequestURI(uri)
	return req
}

func readError(ctx context.Context, stream Stream, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil && errors.Is(err, ctxErr) {
		return ctxErr
	}
	return readUnavailable(stream, err)
}

func parseRead(stream Stream, from Offset, resp *fasthttp.Response) (Batch, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return parseBatch(stream, from, resp.Body())
	case fasthttp.StatusGone:
		return Batch{}, parseGap(stream, from, resp.Body())
	default:
		return Batch{}, readUnavailable(stream, statusError(status))
	}
}

func parseGap(stream Stream, from Offset, body []byte) error {
	var answer logwire.GapAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return readUnavailable(stream, fmt.Errorf("gap answer: %w", err))
	}
	return &GapError{Stream: stream, From: from, Earliest: Offset(answer.Earliest)}
}

func parseBatch(stream Stream, from Offset, body []byte) (Batch, error) {
	var wire logwire.Batch
	if _, err := wire.UnmarshalMsg(body); err != nil {
		return Batch{}, readUnavailable(stream, fmt.Errorf("answer: %w", err))
	}
	batch := Batch{
		Records:  make([]Record, len(wire.Records)),
		Earliest: Offset(wire.Earliest),
		Next:     Offset(wire.Next),
	}
	last := max(from, 1) - 1
	for i, r := range wire.Records {
		offset := Offset(r.Offset)
		if offset <= last {
			return Batch{}, readUnavailable(stream, fmt.Errorf("answer to a read from %d holds offset %d after %d", from, offset, last))
		}
		last = offset
		batch.Records[i] = Record{Offset: offset, Time: r.Time, Payload: r.Payload}
	}
	return batch, nil
}

func readUnavailable(stream Stream, cause error) error {
	return &UnavailableError{Op: "read", Stream: stream, Cause: cause}
}
