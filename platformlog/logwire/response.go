package logwire

// AppendResponse is the JSON body of the response to a successful append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// TruncatedResponse is the JSON body of the 410 response to a read that starts
// before the oldest available record.
type TruncatedResponse struct {
	Earliest uint64 `json:"earliest"`
}
