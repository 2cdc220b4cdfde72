package driver

import (
	"testing"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

func TestOnlyTheReleaseInProgressIsEnded(t *testing.T) {
	g := cell.Grant{Range: keyspace.Full(), Token: cell.Token{Term: 3, Seq: 1}}
	releasing := []cell.Holding{{Grant: g, Releasing: true}}
	takenBack := []cell.Holding{{Grant: g}}

	s := newReleaseSet()
	first := quiesced{grant: g, number: s.begin(g)}
	s.keep(releasing)
	s.keep(takenBack)
	if s.end(first) {
		t.Error("a release that was taken back ended")
	}
	second := quiesced{grant: g, number: s.begin(g)}
	s.keep(releasing)
	if s.end(first) {
		t.Error("the end of work of an earlier release ended a later one")
	}
	if !s.end(second) {
		t.Error("the release in progress did not end")
	}
	if s.end(second) {
		t.Error("a release ended twice")
	}
}
