package sidecar

import (
	"testing"

	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
)

// An answer of an earlier era, or of none, says nothing about a proposal of this one. It
// settled the proposal, so that the lease of an owner that loses shards was extended.
func TestAnswerOfEarlierEraDoesNotSettleAProposal(t *testing.T) {
	for _, c := range []struct {
		err  error
		want ownertable.AppendOutcome
	}{
		{&metastore.EraError{Expected: 5, Store: 4}, ownertable.Indeterminate},
		{&metastore.EraError{Expected: 5, Store: 0}, ownertable.Indeterminate},
		{&metastore.EraError{Expected: 5, Store: 6}, ownertable.Rejected},
		{&metastore.ConditionError{End: 7}, ownertable.Rejected},
		{metastore.ErrNotApplied, ownertable.Rejected},
		{metastore.ErrIndeterminate, ownertable.Indeterminate},
	} {
		if got := failedAppendOutcome(c.err); got != c.want {
			t.Errorf("%v: outcome %d, want %d", c.err, got, c.want)
		}
	}
}
