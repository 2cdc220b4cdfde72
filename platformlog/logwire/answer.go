package logwire

// AppendAnswer is the JSON body of the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// GapAnswer is the JSON body of a read's 410 answer.
type GapAnswer struct {
	Earliest uint64 `json:"earliest"`
}
