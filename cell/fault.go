package cell

// Fault names a rule of the protocol that a node breaks deliberately. It
// exists for tests that show that a checker finds the violation; every other
// program leaves Config.Fault at FaultNone.
type Fault uint8

const (
	// FaultNone breaks no rule.
	FaultNone Fault = iota
	// FaultGrantWithoutLeaderLease grants full leases whatever the authority is.
	FaultGrantWithoutLeaderLease
	// FaultGrantBeforeCommit grants a range before its new assignment stands
	// on two of leader, deputy and log.
	FaultGrantBeforeCommit
	// FaultReassignBeforeExpiry gives ranges away as soon as their owner misses
	// a renewal.
	FaultReassignBeforeExpiry
	// FaultExtendAfterClaim goes on pledging to the old leader after the
	// deputy has read its own claim.
	FaultExtendAfterClaim
	// FaultTakeoverWithoutWait gives ranges of silent members away before the
	// last pledge to the old leader has run out.
	FaultTakeoverWithoutWait
	// FaultForgetProvisional starts a term without the assignments that are
	// not in the log yet.
	FaultForgetProvisional
	// FaultTokenReuse grants ranges anew with their old token.
	FaultTokenReuse
	// FaultRecoverKeepsRanges grants at once after a recovery claim.
	FaultRecoverKeepsRanges
	// FaultFollowOldTerm takes orders of an older term than the one followed.
	FaultFollowOldTerm
	// FaultIgnoreIndeterminateDeputy lets the pledges of the new deputy count alone
	// before the record that names it is settled.
	FaultIgnoreIndeterminateDeputy
	// FaultIgnoreMaxLogStaleness grants leases past the blind limit.
	FaultIgnoreMaxLogStaleness
	// FaultCountFromReceipt counts a lease from the receipt of its grant in
	// place of the sending of the request.
	FaultCountFromReceipt
	// FaultIgnoreDrift counts the lapse of a lease without regard to drift and
	// short by the lease's last tenth.
	FaultIgnoreDrift
	// FaultReleaseEarly reports a release before the work in flight has ended
	// and without giving the range up.
	FaultReleaseEarly
	// FaultKeepRoleAfterRestart takes up the ranges that an older incarnation
	// of the instance held as a leader.
	FaultKeepRoleAfterRestart
	// FaultStopWithoutLog grants no lease while the log cannot be read.
	FaultStopWithoutLog
	// FaultAcceptAnyVersion takes claims of any base as valid.
	FaultAcceptAnyVersion
	// FaultOverlongLease holds a lease for twice its duration.
	FaultOverlongLease
)
