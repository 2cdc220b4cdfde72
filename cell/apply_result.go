package cell

// ApplyResult is the result of applying one record of the stream. It is
// deterministic: every reader of the stream gets the same result.
type ApplyResult struct {
	Kind  RecordKind
	Nonce uint64
	// Valid is set if the record has taken effect.
	Valid bool
	// Reason says why the record was rejected.
	Reason string
	// Audit lists the changes that the record causes.
	Audit []AuditEntry
	// Err is a *VersionError if the record has a newer version than this program
	// supports. The ledger accepts no more records then.
	Err error
}

func rejected(reason string) ApplyResult { return ApplyResult{Reason: reason} }

func accepted(audit ...AuditEntry) ApplyResult { return ApplyResult{Valid: true, Audit: audit} }
