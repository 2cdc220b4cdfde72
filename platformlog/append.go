package platformlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream Stream, payload []byte) (Offset, error) {
	if err := ctx.Err(); err != nil {
		return 0, appendUnavailable(stream, err)
	}
	if len(payload) > logwire.MaxPayloadBytes {
		return 0, appendUnavailable(stream, fmt.Errorf("payload of %d bytes exceeds the limit of %d", len(payload), logwire.MaxPayloadBytes))
	}
	resp, err := c.call(ctx, c.appendRequest(stream, payload), c.config.AppendTimeout)
	if err != nil {
		return 0, appendError(stream, err)
	}
	return parseAppend(stream, resp)
}

func (c *Client) appendRequest(stream Stream, payload []byte) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + c.config.Addr + logwire.Path(string(stream)))
	req.SetBody(payload)
	return req
}

// parseAppend reads the answer to an append. Refusals that the protocol
// defines mean that the record is not part of the stream; any other answer may
// come from an intermediary after the record was taken.
func parseAppend(stream Stream, resp *fasthttp.Response) (Offset, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return parseOffset(stream, resp.Body())
	case fasthttp.StatusTooManyRequests,
		fasthttp.StatusServiceUnavailable,
		fasthttp.StatusBadRequest,
		fasthttp.StatusNotFound,
		fasthttp.StatusRequestEntityTooLarge:
		return 0, appendUnavailable(stream, statusError(status))
	default:
		return 0, &UnknownOutcomeError{Stream: stream, Cause: statusError(status)}
	}
}

func parseOffset(stream Stream, body []byte) (Offset, error) {
	var answer logwire.AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, &UnknownOutcomeError{Stream: stream, Cause: fmt.Errorf("answer: %w", err)}
	}
	if answer.Offset == 0 {
		return 0, &UnknownOutcomeError{Stream: stream, Cause: fmt.Errorf("answer holds no offset")}
	}
	return Offset(answer.Offset), nil
}

func appendError(stream Stream, err error) error {
	if notSent(err) {
		return appendUnavailable(stream, err)
	}
	return &UnknownOutcomeError{Stream: stream, Cause: err}
}

func appendUnavailable(stream Stream, cause error) error {
	return &UnavailableError{Op: "append", Stream: stream, Cause: cause}
}

func statusError(status int) error {
	return fmt.Errorf("the log service answered %s %s", strconv.Itoa(status), fasthttp.StatusMessage(status))
}
