package certs_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/certs"
	"github.com/parsleystack/parsleystack/certs/certtest"
)

func newTestSource(t *testing.T, f certs.Files) *certs.Source {
	s, err := certs.NewSource(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// connect opens one connection and returns the common names that the server and
// the client saw in the peer's certificate.
func connect(t *testing.T, server, client *tls.Config) (clientName, serverName string, err error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	seen := make(chan string, 1)
	go func() { seen <- accept(ln) }()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return "", "", err
	}
	return <-seen, conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// accept accepts one connection, sends a byte and returns the common name of the
// client.
func accept(ln net.Listener) string {
	conn, err := ln.Accept()
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	secure := conn.(*tls.Conn)
	if err := secure.Handshake(); err != nil {
		return ""
	}
	_, _ = conn.Write([]byte{1})
	return secure.ConnectionState().PeerCertificates[0].Subject.CommonName
}

func TestBothSidesAreChecked(t *testing.T) {
	ours, theirs := certtest.NewAuthority(t), certtest.NewAuthority(t)
	server := newTestSource(t, ours.Issue(t.TempDir(), "reports-1", "127.0.0.1")).Server()
	client := newTestSource(t, ours.Issue(t.TempDir(), "reports-2", "127.0.0.2")).Client()
	stranger := newTestSource(t, theirs.Issue(t.TempDir(), "stranger", "127.0.0.1"))
	misplaced := newTestSource(t, ours.Issue(t.TempDir(), "reports-3", "127.0.0.3")).Server()

	clientName, serverName, err := connect(t, server, client)
	if err != nil || clientName != "reports-2" || serverName != "reports-1" {
		t.Fatalf("names %q and %q, error %v", clientName, serverName, err)
	}
	if _, _, err := connect(t, server, stranger.Client()); err == nil {
		t.Error("a client of another authority is accepted")
	}
	if _, _, err := connect(t, stranger.Server(), client); err == nil {
		t.Error("a server of another authority is accepted")
	}
	if _, _, err := connect(t, misplaced, client); err == nil {
		t.Error("a server with the certificate of another address is accepted")
	}
	if _, _, err := connect(t, server, &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("a client without a certificate is accepted")
	}
}

func TestChangedFilesAreUsedWithoutRestart(t *testing.T) {
	old, next := certtest.NewAuthority(t), certtest.NewAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server := newTestSource(t, old.Issue(serverDir, "before", "127.0.0.1"))
	client := newTestSource(t, old.Issue(clientDir, "client", "127.0.0.1"))
	now := time.Now()
	server.SetNow(func() time.Time { return now })
	client.SetNow(func() time.Time { return now })
	serverConfig := server.Server()

	next.Issue(serverDir, "after", "127.0.0.1")
	next.Issue(clientDir, "client", "127.0.0.1")
	if _, name, err := connect(t, serverConfig, client.Client()); err != nil || name != "before" {
		t.Fatalf("within the check interval: %q, error %v", name, err)
	}
	now = now.Add(certs.CheckInterval)
	if _, name, err := connect(t, serverConfig, client.Client()); err != nil || name != "after" {
		t.Fatalf("after the check interval: %q, error %v", name, err)
	}
	if err := os.WriteFile(filepath.Join(serverDir, "key.pem"), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(certs.CheckInterval)
	if _, name, err := connect(t, serverConfig, client.Client()); err != nil || name != "after" {
		t.Fatalf("with a malformed key file: %q, error %v", name, err)
	}
}
