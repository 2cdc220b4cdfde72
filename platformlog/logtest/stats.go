package logtest

// Stats counts the calls of a Log since it was created.
type Stats struct {
	Appends        uint64 `json:"appends"`        // appends that took effect
	AppendBytes    uint64 `json:"append_bytes"`   // payload bytes of these
	Refused        uint64 `json:"refused"`        // appends rejected by the rate limit
	Unavailable    uint64 `json:"unavailable"`    // calls rejected during an outage
	LostResponses  uint64 `json:"lost_answers"`   // appends whose response was lost
	LateAppends    uint64 `json:"late_appends"`   // appends that took effect late
	Reads          uint64 `json:"reads"`          // reads that returned a batch
	ReadRecords    uint64 `json:"read_records"`   // records in these batches
	ReadBytes      uint64 `json:"read_bytes"`     // payload bytes in these batches
	TruncatedReads uint64 `json:"gaps"`           // reads from before the oldest available record
	Streams        uint64 `json:"streams"`        // streams that were appended to
	RecordsKept    uint64 `json:"records_kept"`   // records currently kept over all streams
	PendingAppends uint64 `json:"pending_events"` // late appends that have not taken effect yet
}
