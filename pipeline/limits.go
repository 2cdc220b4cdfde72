package pipeline

// Limits bound what one connection may have in progress.
type Limits struct {
	// Requests is the number of requests without a written response.
	Requests int
	// Bytes is the size of the bodies of these requests and of the responses that wait for
	// their turn. One request alone may exceed it.
	Bytes int
}
