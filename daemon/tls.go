package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/settings"
)

// LoadTLS returns the configuration of mutual TLS between daemons and towards
// operators, or nil if the settings turn TLS off.
func LoadTLS(s *settings.TLS) (*tls.Config, error) {
	if s.Insecure {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("daemon: tls.cert_file and tls.key_file can't be used: %w; write a matching pair in PEM form", err)
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("daemon: tls.ca_file can't be read: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("daemon: tls.ca_file %s holds no certificate; write at least one in PEM form", s.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
