package cell

// Verdict is the result of applying one record of the stream. It is
// deterministic: every reader of the stream gets the same result.
type Verdict struct {
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

func rejected(reason string) Verdict { return Verdict{Reason: reason} }

func accepted(audit ...AuditEntry) Verdict { return Verdict{Valid: true, Audit: audit} }
