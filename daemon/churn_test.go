package daemon

import (
	"testing"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

func testNode(name string) ident.Node {
	if name == "" {
		return ident.Node{}
	}
	return ident.Node{Instance: ident.Instance(name), Incarnation: 1}
}

// assigned divides the hash space among owners; "" is none.
func assigned(owners ...string) []cell.Grant {
	var grants []cell.Grant
	for i, r := range keyspace.Divide(len(owners)) {
		grants = append(grants, cell.Grant{Range: r, Owner: testNode(owners[i])})
	}
	return grants
}

func TestChurnCountsChangesOfOwner(t *testing.T) {
	var c churn
	steps := []struct {
		name   string
		grants []cell.Grant
		want   int
	}{
		{"first owners", assigned("a", "a", "b", "b"), 0},
		{"nothing changes", assigned("a", "a", "b", "b"), 0},
		{"one range moves", assigned("a", "b", "b", "b"), 1},
		{"ranges of one owner are joined", assigned("a", "b"), 0},
		{"a range is split", assigned("a", "a", "b", "b"), 0},
		{"a range loses its owner", assigned("a", "", "b", "b"), 0},
		{"it returns to its owner", assigned("a", "a", "b", "b"), 0},
		{"it loses its owner again", assigned("a", "", "b", "b"), 0},
		{"another gets it", assigned("a", "c", "b", "b"), 1},
		{"all move", assigned("d", "d", "d", "d"), 4},
	}
	for _, step := range steps {
		if got := c.step(step.grants); got != step.want {
			t.Errorf("%s: %d changes, want %d", step.name, got, step.want)
		}
	}
}
