package celltest

import "github.com/parsleystack/parsleystack/cell"

// ProtocolRule is a rule of the protocol that a schedule can disable, to test that
// the checker detects the violations. Name is its name in traces, Fault the fault
// that disables it.
type ProtocolRule struct {
	Name  string
	Fault cell.Fault
}

// ProtocolRules lists the rules that can be disabled.
var ProtocolRules = []ProtocolRule{
	{"grant-without-pledge", cell.FaultGrantWithoutLeaderLease},
	{"grant-before-standing", cell.FaultGrantBeforeCommit},
	{"give-away-before-lapse", cell.FaultReassignBeforeExpiry},
	{"pledge-after-claim", cell.FaultExtendAfterClaim},
	{"takeover-without-wait", cell.FaultTakeoverWithoutWait},
	{"forget-provisional", cell.FaultForgetProvisional},
	{"token-reuse", cell.FaultTokenReuse},
	{"recover-keeps-ranges", cell.FaultRecoverKeepsRanges},
	{"follow-old-term", cell.FaultFollowOldTerm},
	{"ignore-unsettled-deputy", cell.FaultIgnoreIndeterminateDeputy},
	{"ignore-blind-limit", cell.FaultIgnoreMaxLogStaleness},
	{"count-from-receipt", cell.FaultCountFromReceipt},
	{"ignore-drift", cell.FaultIgnoreDrift},
	{"release-early", cell.FaultReleaseEarly},
	{"keep-role-after-restart", cell.FaultKeepRoleAfterRestart},
	{"stop-without-log", cell.FaultStopWithoutLog},
	{"accept-any-base", cell.FaultAcceptAnyVersion},
	{"overlong-lease", cell.FaultOverlongLease},
}

// faultOf returns the fault that disables the rule with the given name, or
// cell.FaultNone.
func faultOf(rule string) cell.Fault {
	for _, r := range ProtocolRules {
		if r.Name == rule {
			return r.Fault
		}
	}
	return cell.FaultNone
}
