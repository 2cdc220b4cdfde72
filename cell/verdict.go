package cell

// ApplyResult is what the fold of a stream says of one record. Every reader of the
// stream reaches the same verdict.
type ApplyResult struct {
	Kind  RecordKind
	Nonce uint64
	// Valid is set if the record has taken effect.
	Valid bool
	// Reason says why the record is void.
	Reason string
	// Audit lists the changes that the record causes.
	Audit []AuditEntry
	// Err is a *VersionError if the record needs a newer program. The ledger
	// takes no further record then.
	Err error
}

func void(reason string) ApplyResult { return ApplyResult{Reason: reason} }

func valid(audit ...AuditEntry) ApplyResult { return ApplyResult{Valid: true, Audit: audit} }
