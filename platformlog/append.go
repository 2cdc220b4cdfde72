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
	return parseAppendResponse(stream, resp)
}

func (c *Client) appendRequest(stream Stream, payload []byte) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + c.config.Addr + logwire.Path(string(stream)))
	req.SetBody(payload)
	return req
}

// parseAppendResponse parses the response to an append. The rejections that
// the protocol defines mean that the record is not part of the stream. Any
// other status may come from an intermediary after the log has accepted the
// record, so the outcome is unknown.
func parseAppendResponse(stream Stream, resp *fasthttp.Response) (Offset, error) {
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
	var response logwire.AppendResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, &UnknownOutcomeError{Stream: stream, Cause: fmt.Errorf("decode append response: %w", err)}
	}
	if response.Offset == 0 {
		return 0, &UnknownOutcomeError{Stream: stream, Cause: fmt.Errorf("append response has no offset")}
	}
	return Offset(response.Offset), nil
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
	return fmt.Errorf("the log service responded with status %s %s", strconv.Itoa(status), fasthttp.StatusMessage(status))
}
