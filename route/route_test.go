package route

import (
	"errors"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/service"
)

const modelPoints = 24

// TestNewestTokenWins merges random entries into the table and compares it at
// each point with an array.
func TestNewestTokenWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("each point has its newest owner", prop.ForAll(func(raw []uint64) bool {
		r := NewRouter()
		r.SetSpecs(1, []service.Spec{{Name: "s"}})
		var model [modelPoints]uint64
		for _, x := range raw {
			first := x % modelPoints
			last := first + x>>8%(modelPoints-first)
			seq := 1 + x>>16%20
			r.MergeEntries("s", entryOf(first, last, seq))
			for p := first; p <= last; p++ {
				model[p] = max(model[p], seq)
			}
		}
		s, _ := r.Table().Service([]byte("s"))
		for p := range model {
			to, ok := s.Owner(keyspace.Point(p))
			if ok != (model[p] > 0) || ok && to.Entry.Token.Seq != model[p] {
				return false
			}
		}
		return true
	}, gen.SliceOfN(12, gen.UInt64())))
	properties.TestingRun(t)
}

func entryOf(first, last, seq uint64) Entry {
	return Entry{
		Range: keyspace.Range{First: keyspace.Point(first), Last: keyspace.Point(last)},
		Owner: ident.Node{Instance: "a", Incarnation: ident.Incarnation(seq)},
		Addr:  "a", Token: cell.Token{Term: 1, Seq: seq},
	}
}

// input is a request in memory.
type input struct {
	path, query string
	headers     []string
}

func (i input) Path() []byte  { return []byte(i.path) }
func (i input) Query() []byte { return []byte(i.query) }
func (i input) Header(string) ([]byte, bool) {
	if len(i.headers) == 0 {
		return nil, true
	}
	return []byte(i.headers[0]), len(i.headers) == 1
}

func TestKey(t *testing.T) {
	second := service.KeyRule{Source: service.KeyPathSegment, Segment: 1}
	query := service.KeyRule{Source: service.KeyQuery, Name: "room"}
	header := service.KeyRule{Source: service.KeyHeader, Name: "X-Room"}
	for _, c := range []struct {
		rule service.KeyRule
		in   input
		want string // "" means a KeyError
	}{
		{second, input{path: "/a/b/c"}, "b"},
		{second, input{path: "/a/b"}, "b"},
		{second, input{path: "/a/%62"}, "b"},
		{second, input{path: "/a/x%2Fy%00"}, "x/y\x00"},
		{second, input{path: "/a/b+c"}, "b+c"},
		{second, input{path: "/a"}, ""},
		{second, input{path: "/a/"}, ""},
		{second, input{path: "//b/c"}, ""},
		{second, input{path: "/a/%6"}, ""},
		{query, input{query: "x=1&room=r+1%21"}, "r 1!"},
		{query, input{query: "r%6fom=r"}, "r"},
		{query, input{query: "room=r&room=s"}, ""},
		{query, input{query: "room="}, ""},
		{query, input{query: "rooms=r"}, ""},
		{header, input{headers: []string{"r"}}, "r"},
		{header, input{headers: []string{"r", "s"}}, ""},
		{header, input{}, ""},
	} {
		got, err := Key([]byte("kept"), &c.rule, c.in)
		var keyErr *KeyError
		if string(got) != "kept"+c.want || (c.want == "") != errors.As(err, &keyErr) {
			t.Errorf("%+v: %q, %v, want %q", c.in, got, err, c.want)
		}
	}
}

func TestChoose(t *testing.T) {
	r := NewRouter()
	r.SetSpecs(1, []service.Spec{{Name: "s"}})
	parts := keyspace.Divide(3)
	for i, p := range parts {
		zone := ident.Zone("far")
		if i == 0 {
			zone = "near"
		}
		addr := string(rune('a' + i))
		r.MergeEntries("s", Entry{Range: p, Owner: ident.Node{Instance: ident.Instance(addr)}, Addr: addr, Zone: zone, Token: cell.Token{Term: 1, Seq: 1}})
	}
	s, _ := r.Table().Service([]byte("s"))
	choose := func(avoid *Peer) map[string]int {
		chosen := make(map[string]int)
		for i := range uint64(300) {
			to, ok := s.Choose("near", i*0x9e3779b97f4a7c15, avoid, 1)
			if !ok {
				t.Fatal("no choice")
			}
			chosen[to.Entry.Addr]++
		}
		return chosen
	}
	near := s.Peers()[0]
	if got := choose(nil); got["a"] != 300 {
		t.Errorf("own zone has room, chosen %v", got)
	}
	if got := choose(near); got["a"] != 0 || got["b"] == 0 || got["c"] == 0 {
		t.Errorf("own zone avoided, chosen %v", got)
	}
	near.Report(8, 8, 1)
	if got := choose(nil); got["a"] != 0 || got["b"] == 0 || got["c"] == 0 {
		t.Errorf("own zone full, chosen %v", got)
	}
}

func TestOwnerDoesNotAllocate(t *testing.T) {
	r := NewRouter()
	r.SetSpecs(1, []service.Spec{{Name: "s"}})
	r.MergeEntries("s", entryOf(0, 1<<63, 1))
	name := []byte("s")
	if n := testing.AllocsPerRun(100, func() {
		s, _ := r.Table().Service(name)
		s.Owner(3)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
