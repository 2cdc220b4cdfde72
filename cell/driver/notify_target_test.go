package driver

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// A leader may renew an expired lease with the same token, which the target
// refuses once it has been revoked. So only a grant that was released may be
// revoked at the target.
func TestOnlyReleasedGrantsAreRevoked(t *testing.T) {
	now := clock.Time(0).Add(time.Hour)
	g := cell.Grant{Range: keyspace.Full(), Token: cell.Token{Term: 5, Seq: 1}}
	held := cell.Holding{Grant: g, Expires: now.Add(time.Second)}
	releasing := held
	releasing.Releasing = true
	for name, c := range map[string]struct {
		before cell.Holding
		now    clock.Time
		revoke bool
	}{
		"lapsed":                 {held, held.Expires, false},
		"lapsed while releasing": {releasing, held.Expires, false},
		"replaced":               {held, now, false},
		"released in time":       {releasing, now, true},
	} {
		_, revoked := holdingSet{g: c.before}.diff(holdingSet{}, c.now)
		if got := len(revoked) == 1; got != c.revoke {
			t.Errorf("%s: revoked is %v", name, revoked)
		}
		granted, _ := holdingSet{}.diff(holdingSet{g: held}, c.now)
		if len(granted) != 1 {
			t.Errorf("%s: the target is not notified of a grant that is held again", name)
		}
	}
}
