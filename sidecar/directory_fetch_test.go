package sidecar

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/transport"
)

// A daemon that is behind obtains the missing records from another one. It must get all
// of them or an error, after which it reads the store, and a malformed call must harm
// nothing.
func TestDaemonThatIsBehindGetsRecordsFromAnother(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.awaitServing()
	behind, ahead := d.nodes[0].daemon, d.nodes[1].daemon
	end := ahead.control.appliedShared.Load()
	call := func(body []byte) (*directoryUpdate, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		reply, err := behind.peerLinks.Call(ctx, d.nodes[1].settings.LinkAddr, callDirectoryRecords, body)
		if err != nil {
			return nil, err
		}
		u := new(directoryUpdate)
		_, err = u.UnmarshalMsg(reply)
		return u, err
	}
	from := end - 1
	u, err := call(msgp.AppendInt64(nil, from))
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range u.Records {
		if r.Offset != from+int64(i) {
			t.Errorf("record %d has the offset %d, want %d", i, r.Offset, from+int64(i))
		}
	}
	if u.From != from || len(u.Records) == 0 {
		t.Errorf("got %d records from offset %d, want those from %d on", len(u.Records), u.From, from)
	}
	for name, body := range map[string][]byte{"of a later era": msgp.AppendInt64(nil, 1<<40), "malformed": {0xc1}, "empty": nil} {
		var refused *transport.CallError
		if u, err := call(body); !errors.As(err, &refused) {
			t.Errorf("call %s: %+v, %v, want an error of the other daemon", name, u, err)
		}
	}
	if _, err := call(msgp.AppendInt64(nil, from)); err != nil {
		t.Errorf("after malformed calls: %v", err)
	}
}
