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
	return parseReadResponse(stream, from, resp)
}

// longPoll returns the time that the service may wait for a first record. It
// reserves a fifth of the time left until the deadline for the response.
func (c *Client) longPoll(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.config.LongPoll
	}
	return max(0, min(c.config.LongPoll, time.Until(deadline)*4/5))
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

func parseReadResponse(stream Stream, from Offset, resp *fasthttp.Response) (Batch, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return parseBatch(stream, from, resp.Body())
	case fasthttp.StatusGone:
		return Batch{}, parseTruncated(stream, from, resp.Body())
	default:
		return Batch{}, readUnavailable(stream, statusError(status))
	}
}

func parseTruncated(stream Stream, from Offset, body []byte) error {
	var response logwire.TruncatedResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return readUnavailable(stream, fmt.Errorf("decode response for a truncated stream: %w", err))
	}
	return &TruncatedError{Stream: stream, From: from, Earliest: Offset(response.Earliest)}
}

func parseBatch(stream Stream, from Offset, body []byte) (Batch, error) {
	var wire logwire.Batch
	if _, err := wire.UnmarshalMsg(body); err != nil {
		return Batch{}, readUnavailable(stream, fmt.Errorf("decode read response: %w", err))
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
			return Batch{}, readUnavailable(stream, fmt.Errorf("response to a read from offset %d has offset %d after offset %d", from, offset, last))
		}
		last = offset
		batch.Records[i] = Record{Offset: offset, Time: r.Time, Payload: r.Payload}
	}
	return batch, nil
}

func readUnavailable(stream Stream, cause error) error {
	return &UnavailableError{Op: "read", Stream: stream, Cause: cause}
}
