package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"
)

// authority issues the certificates of one deployment.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

// config returns the settings of a daemon with a certificate of its own.
func (a *authority) config(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// TestMutualTLS: both ends need a certificate of the shared authority.
func TestMutualTLS(t *testing.T) {
	authority := newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(Config{Hello: hello("server"), TLS: authority.config(t)}, &echo{}, nil)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	addr := l.Addr().String()

	good := newTestPool(t, func(c *Config) { c.TLS = authority.config(t) })
	if got, err := good.Call(ctxFor(t, 5*time.Second), addr, 1, []byte("x")); err != nil || string(got) != "\x01x" {
		t.Errorf("with a certificate: %q, %v", got, err)
	}
	stranger := newTestPool(t, func(c *Config) { c.TLS = newAuthority(t).config(t) })
	if _, err := stranger.Call(ctxFor(t, 5*time.Second), addr, 1, nil); err == nil {
		t.Error("a certificate of another authority is accepted")
	}
	plain := newTestPool(t, nil)
	if _, err := plain.Call(ctxFor(t, 5*time.Second), addr, 1, nil); err == nil {
		t.Error("a plain connection is accepted")
	}
}
