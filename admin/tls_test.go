package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleystack/parsleystack/certs"
	"github.com/parsleystack/parsleystack/certs/certtest"
)

// With mutual TLS the operator of a command is taken from the certificate, and
// only the listed operators may issue commands.
func TestCommandsNeedTheCertificateOfAnOperator(t *testing.T) {
	authority := certtest.NewAuthority(t)
	source := func(name string) *certs.Source {
		s, err := certs.NewSource(authority.Issue(t.TempDir(), name, "127.0.0.1"), nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{}
	h := NewHandler(b, "anna")
	core, logs := observer.New(zapcore.WarnLevel)
	h.Refused = LogRefused(zap.New(core))
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { h.Serve(ctx) }}
	go func() { _ = srv.Serve(tls.NewListener(ln, source("reports-1").Server())) }()
	t.Cleanup(func() { _ = ln.Close() })

	ctx := context.Background()
	anna := NewClient(ln.Addr().String(), source("anna").Client())
	if _, err := anna.Drain(ctx, &DrainRequest{Operator: "someone else"}); err != nil || b.drained.Operator != "anna" {
		t.Fatalf("the drain request is %+v, error %v", b.drained, err)
	}
	daemon := NewClient(ln.Addr().String(), source("reports-2").Client())
	var refusal *Error
	if _, err := daemon.Drain(ctx, &DrainRequest{Operator: "anna"}); !errors.As(err, &refusal) || refusal.Status != 403 {
		t.Errorf("a command with a daemon's certificate: %v", err)
	}
	if logs.Len() != 1 || logs.All()[0].ContextMap()["status"] != int64(403) {
		t.Errorf("logged is %+v", logs.All())
	}
	if _, err := daemon.Status(ctx); err != nil {
		t.Errorf("status with a daemon's certificate: %v", err)
	}
	if _, err := NewClient(ln.Addr().String(), nil).Status(ctx); err == nil {
		t.Error("plain HTTP is answered")
	}
}

func TestNamedOperatorsNeedTLS(t *testing.T) {
	c := startServerOf(t, NewHandler(&fakeBackend{}, "anna"))
	var refusal *Error
	if _, err := c.Drain(context.Background(), &DrainRequest{Operator: "anna"}); !errors.As(err, &refusal) || refusal.Status != 403 {
		t.Errorf("a command without a certificate: %v", err)
	}
}
