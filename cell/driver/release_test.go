package driver

import (
	"testing"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

func TestOnlyTheReleaseInProgressIsCompleted(t *testing.T) {
	g := cell.Grant{Range: keyspace.Full(), Token: cell.Token{Term: 3, Seq: 1}}
	releasing := []cell.Holding{{Grant: g, Releasing: true}}
	canceled := []cell.Holding{{Grant: g}}

	s := newReleaseSet()
	first := quiesced{grant: g, number: s.begin(g)}
	s.retain(releasing)
	s.retain(canceled)
	if s.complete(first) {
		t.Error("a canceled release was completed")
	}
	second := quiesced{grant: g, number: s.begin(g)}
	s.retain(releasing)
	if s.complete(first) {
		t.Error("the completion of an earlier release completed a later one")
	}
	if !s.complete(second) {
		t.Error("the release in progress was not completed")
	}
	if s.complete(second) {
		t.Error("a release was completed twice")
	}
}
