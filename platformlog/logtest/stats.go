package logtest

// Stats counts the calls of a Log since its start.
type Stats struct {
	Appends       uint64 `json:"appends"`        // appends that took effect
	AppendBytes   uint64 `json:"append_bytes"`   // payload bytes of these
	Refused       uint64 `json:"refused"`        // appends over the cap
	Unavailable   uint64 `json:"unavailable"`    // calls refused in an outage
	LostAnswers   uint64 `json:"lost_answers"`   // appends whose answer was lost
	LateAppends   uint64 `json:"late_appends"`   // appends that took effect late
	Reads         uint64 `json:"reads"`          // reads answered
	ReadRecords   uint64 `json:"read_records"`   // records in these answers
	ReadBytes     uint64 `json:"read_bytes"`     // payload bytes in these answers
	Gaps          uint64 `json:"gaps"`           // reads before the oldest record
	Streams       uint64 `json:"streams"`        // streams that were appended to
	RecordsKept   uint64 `json:"records_kept"`   // records of all streams now
	PendingEvents uint64 `json:"pending_events"` // appends that have yet to take effect
}
