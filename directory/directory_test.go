package directory

import (
	"context"
	"errors"
	"testing"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

var errConnRefused = errors.New("connection refused")

// fakeLog holds the records of one stream.
type fakeLog struct {
	records []platformlog.Record
	err     error
	reads   int
}

func (l *fakeLog) Append(context.Context, platformlog.Stream, []byte) (platformlog.Offset, error) {
	return 0, errConnRefused
}

func (l *fakeLog) Read(_ context.Context, _ platformlog.Stream, from platformlog.Offset, _ int) (platformlog.Batch, error) {
	l.reads++
	next := platformlog.Offset(len(l.records) + 1)
	if l.err != nil {
		return platformlog.Batch{}, l.err
	}
	return platformlog.Batch{Records: l.records[min(from, next)-1:], Earliest: 1, Next: next}, nil
}

// fakeClient maps the address of each reachable member to its answer.
type fakeClient map[string]*Answer

func (c fakeClient) Query(_ context.Context, addr string, _ Query) (*Answer, error) {
	if a := c[addr]; a != nil {
		return a, nil
	}
	return nil, errConnRefused
}

func node(name string) ident.Node { return ident.Node{Instance: ident.Instance(name), Incarnation: 1} }

func member(name string) cell.Member {
	return cell.Member{Node: node(name), Zone: "z", Addr: name + ":1"}
}

func announce(offset platformlog.Offset, name string) platformlog.Record {
	r := cell.Record{Announce: &cell.Announce{Nonce: uint64(offset), Member: member(name)}}
	return platformlog.Record{Offset: offset, Time: int64(offset), Payload: r.AppendTo(nil)}
}

func announcedLog() *fakeLog {
	return &fakeLog{records: []platformlog.Record{announce(1, "a"), announce(2, "b"), announce(3, "c")}}
}

func answerOf(term uint64, complete bool, owner string) *Answer {
	return &Answer{
		Term:     term,
		Leader:   node("a"),
		Deputy:   node("b"),
		Complete: complete,
		Members:  []cell.Member{member("a"), member("b"), member("c")},
		Grants:   []cell.Grant{{Range: keyspace.Full(), Owner: node(owner), Token: cell.Token{Term: term, Seq: 1}}},
	}
}

func refreshOwner(t *testing.T, d *Directory) ident.Node {
	t.Helper()
	entries, err := d.Refresh(context.Background(), "reports", 0)
	if err != nil || len(entries) != 1 {
		t.Fatalf("entries %v, error %v", entries, err)
	}
	return entries[0].Owner
}

func TestColdStartFindsTheOwnerThroughTheLog(t *testing.T) {
	d := New(Config{Log: announcedLog(), Client: fakeClient{"a:1": answerOf(4, true, "c")}})
	if got := refreshOwner(t, d); got != node("c") {
		t.Fatalf("owner is %v", got)
	}
}

func TestPartialAnswerLeadsToTheLeader(t *testing.T) {
	client := fakeClient{"c:1": answerOf(4, false, "b")}
	d := New(Config{Log: announcedLog(), Client: client})
	if got := refreshOwner(t, d); got != node("b") {
		t.Fatalf("with only c reachable the owner is %v", got)
	}
	client["a:1"] = answerOf(4, true, "a")
	if got := refreshOwner(t, d); got != node("a") {
		t.Fatalf("with the leader reachable the owner is %v", got)
	}
}

func TestNewerTermWinsOverAnOldLeader(t *testing.T) {
	d := New(Config{Log: announcedLog(), Client: fakeClient{"a:1": answerOf(4, true, "a"), "b:1": answerOf(7, true, "b")}})
	if got := refreshOwner(t, d); got != node("b") {
		t.Fatalf("owner is %v, want b, the owner in term 7", got)
	}
}

func TestKnownMembersAreAskedWithoutTheLog(t *testing.T) {
	log := announcedLog()
	d := New(Config{Log: log, Client: fakeClient{"a:1": answerOf(4, true, "a")}})
	refreshOwner(t, d)
	log.err = errConnRefused
	reads := log.reads
	refreshOwner(t, d)
	if log.reads != reads {
		t.Fatal("the log was read although members are known")
	}
}

func TestNobodyAnswersIsATypedError(t *testing.T) {
	for _, log := range []*fakeLog{{}, {err: errConnRefused}, announcedLog()} {
		d := New(Config{Log: log, Client: fakeClient{}})
		_, err := d.Refresh(context.Background(), "reports", 0)
		var none *NoMemberError
		if !errors.As(err, &none) {
			t.Fatalf("error is %v", err)
		}
	}
}

func TestOwnCellNeedsNoQuery(t *testing.T) {
	d := New(Config{
		Log:    &fakeLog{err: errConnRefused},
		Client: fakeClient{},
		Local:  func(ident.Service) *Answer { return answerOf(4, true, "c") },
	})
	if got := refreshOwner(t, d); got != node("c") {
		t.Fatalf("owner is %v", got)
	}
}

func TestPeersNameTheMembersWhileTheLogIsDown(t *testing.T) {
	known := answerOf(4, false, "b")
	known.Grants = nil
	d := New(Config{
		Log:    &fakeLog{err: errConnRefused},
		Client: fakeClient{"peer:1": known, "a:1": answerOf(4, true, "c")},
		Peers:  func() []string { return []string{"peer:1"} },
	})
	if got := refreshOwner(t, d); got != node("c") {
		t.Fatalf("owner is %v", got)
	}
}
