package transport

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/standin/tcprelay"
	"github.com/parsleystack/parsleystack/wire"
)

// A connection that stays open but delivers nothing must be replaced, after a call
// that it left unanswered and when Renew is called.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, notice := range map[string]func(t *testing.T, p *Pool, addr string){
		"unanswered call": func(t *testing.T, p *Pool, addr string) {
			if _, err := p.Call(ctxFor(t, silenceTimeout+100*time.Millisecond), addr, 1, []byte("x")); err == nil {
				t.Fatal("a call on a silent connection was answered")
			}
		},
		"Renew": func(_ *testing.T, p *Pool, addr string) { p.Renew(addr) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := start(t, new(echo))
			relay, err := tcprelay.Listen("127.0.0.1:0", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(relay.Close)
			pool := newTestPool(t, nil)
			call := func() error {
				_, err := pool.Call(ctxFor(t, 10*time.Second), relay.Addr(), wire.CallKind(1), []byte("x"))
				return err
			}
			if err := call(); err != nil {
				t.Fatal(err)
			}
			relay.Silence(tcprelay.Both)
			notice(t, pool, relay.Addr())
			if err := call(); err != nil {
				t.Errorf("after the connection went silent: %v", err)
			}
		})
	}
}
