package target

// Run is the record of one execution of a request.
type Run struct {
	Seq            int    `json:"seq"` // index of the run in its process, from 0
	ID             string `json:"id"`  // X-Request-Id, or Parsley-Request-Id if there is none
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"` // below the service's prefix
	Key            string `json:"key"`
	Token          string `json:"token,omitempty"`
	Target         string `json:"target"`
	Start          int64  `json:"start"`         // Unix nanoseconds
	End            int64  `json:"end,omitempty"` // Unix nanoseconds, 0 while it runs
	Completed      bool   `json:"completed"`     // the run was neither canceled nor timed out
}

// Mutating reports whether the method of the request may change state.
func (r *Run) Mutating() bool { return mutating(r.Method) }

func mutating(method string) bool { return method != "GET" && method != "HEAD" }
