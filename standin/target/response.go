package target

import (
	"encoding/json"
	"strings"
)

// Response is the JSON body of the response to a request.
type Response struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Key            string `json:"key"`
	Token          string `json:"token,omitempty"`
	Target         string `json:"target"`
	Padding        string `json:"padding,omitempty"`
}

func appendResponse(b []byte, r *request, padding int) []byte {
	body, err := json.Marshal(Response{
		ID:             r.run.ID,
		IdempotencyKey: r.run.IdempotencyKey,
		Service:        r.run.Service,
		Method:         r.run.Method,
		Path:           r.run.Path,
		Key:            r.run.Key,
		Token:          r.run.Token,
		Target:         r.run.Target,
		Padding:        strings.Repeat("x", padding),
	})
	if err != nil {
		panic("target: marshal a response of strings: " + err.Error())
	}
	return append(b, body...)
}
