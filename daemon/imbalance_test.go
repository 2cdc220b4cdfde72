package daemon

import (
	"math"
	"testing"

	"github.com/parsleystack/parsleystack/cell"
)

func testMembers(names ...string) []cell.Member {
	var members []cell.Member
	for _, name := range names {
		members = append(members, cell.Member{Node: testNode(name)})
	}
	return members
}

func TestImbalanceIsTheLargestOverTheMean(t *testing.T) {
	halfAndQuarters := assigned("a", "", "", "")
	halfAndQuarters[1] = cell.Grant{Range: halfAndQuarters[1].Range, Owner: testNode("a")}
	halfAndQuarters[2].Range.Last = halfAndQuarters[3].Range.Last
	halfAndQuarters[2].Owner = testNode("b")
	tests := []struct {
		name    string
		members []cell.Member
		grants  []cell.Grant
		want    imbalance
	}{
		{"even", testMembers("a", "b"), assigned("a", "b"), imbalance{1, 1}},
		{"three to one", testMembers("a", "b"), assigned("a", "a", "a", "b"), imbalance{1.5, 1.5}},
		{"a member without ranges", testMembers("a", "b"), assigned("a", "a"), imbalance{2, 2}},
		{"ranges of unequal width", testMembers("a", "b"), halfAndQuarters[:3], imbalance{4.0 / 3, 1}},
		{"a range without owner", testMembers("a", "b"), assigned("a", "b", "", ""), imbalance{1, 1}},
		{"no members", nil, assigned("a"), imbalance{}},
		{"no owners", testMembers("a"), assigned(""), imbalance{}},
	}
	for _, test := range tests {
		got := imbalanceOf(test.members, test.grants)
		if math.Abs(got.ranges-test.want.ranges) > 1e-9 || math.Abs(got.keys-test.want.keys) > 1e-9 {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
