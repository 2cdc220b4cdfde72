package driver

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// A leader renews a lapsed lease with the same token, so only a grant that was
// given up may be revoked at the target.
func TestOnlyGrantsThatWereGivenUpAreRevoked(t *testing.T) {
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
		"given up":               {releasing, now, true},
	} {
		_, revoked := heldSet{g: c.before}.orders(heldSet{}, c.now)
		if got := len(revoked) == 1; got != c.revoke {
			t.Errorf("%s: revoked is %v", name, revoked)
		}
		granted, _ := heldSet{}.orders(heldSet{g: held}, c.now)
		if len(granted) != 1 {
			t.Errorf("%s: a grant held again is not told to the target", name)
		}
	}
}
