package celltest

import "github.com/parsleystack/parsleystack/cell"

// BrokenRule is a rule of the protocol that can be broken deliberately, to see
// that the checker notices.
type BrokenRule struct {
	Name  string
	Fault cell.Fault
}

// BrokenRules lists the rules that can be broken.
var BrokenRules = []BrokenRule{
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

// faultOf returns the fault that breaks the rule with a name.
func faultOf(rule string) cell.Fault {
	for _, r := range BrokenRules {
		if r.Name == rule {
			return r.Fault
		}
	}
	return cell.FaultNone
}
