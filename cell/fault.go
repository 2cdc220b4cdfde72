package cell

// Fault is a fault injection: a rule of the protocol that the node violates
// deliberately. Tests use it to show that a checker detects the violation; all
// other programs leave Config.Fault at FaultNone.
type Fault uint8

const (
	// FaultNone injects no fault.
	FaultNone Fault = iota
	// FaultGrantWithoutLeaderLease grants full leases regardless of the leader's own
	// lease.
	FaultGrantWithoutLeaderLease
	// FaultGrantBeforeCommit grants a range before its new assignment is
	// committed, that is, stored on two of leader, deputy and log.
	FaultGrantBeforeCommit
	// FaultReassignBeforeExpiry reassigns ranges as soon as their owner misses a
	// renewal, without waiting for its lease to expire.
	FaultReassignBeforeExpiry
	// FaultExtendAfterClaim keeps extending the old leader's lease after the
	// deputy has read its own claim.
	FaultExtendAfterClaim
	// FaultTakeoverWithoutWait reassigns ranges of members that have not renewed
	// before the last extension of the old leader's lease has expired.
	FaultTakeoverWithoutWait
	// FaultForgetProvisional starts a term without the provisional assignments,
	// those that are not in the log yet.
	FaultForgetProvisional
	// FaultTokenReuse grants ranges again with their old token.
	FaultTokenReuse
	// FaultRecoverKeepsRanges grants leases immediately after a recovery claim.
	FaultRecoverKeepsRanges
	// FaultFollowOldTerm accepts messages of an older term than the one followed.
	FaultFollowOldTerm
	// FaultIgnoreIndeterminateDeputy accepts lease extensions of the new deputy alone
	// while the outcome of the record that names it is indeterminate.
	FaultIgnoreIndeterminateDeputy
	// FaultIgnoreMaxLogStaleness grants leases beyond the maximum staleness of the log.
	FaultIgnoreMaxLogStaleness
	// FaultCountFromReceipt counts a lease from the receipt of the Lease instead
	// of from the sending of the Renew.
	FaultCountFromReceipt
	// FaultIgnoreDrift treats a lease as expired without allowing for clock drift,
	// and a tenth of its duration early.
	FaultIgnoreDrift
	// FaultReleaseEarly reports a release while requests are still in flight, and
	// keeps the grant.
	FaultReleaseEarly
	// FaultKeepRoleAfterRestart holds the ranges that an older incarnation of the
	// instance owned as leader.
	FaultKeepRoleAfterRestart
	// FaultStopWithoutLog grants no lease while the log cannot be read.
	FaultStopWithoutLog
	// FaultAcceptAnyVersion accepts claims with any expected version.
	FaultAcceptAnyVersion
	// FaultOverlongLease holds a lease for twice its duration.
	FaultOverlongLease
)
