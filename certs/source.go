package certs

import (
	"crypto/tls"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Source provides TLS configurations from the latest valid set of files. It is
// safe for concurrent use.
type Source struct {
	files  Files
	logger *zap.Logger
	now    func() time.Time

	mu        sync.Mutex
	current   *credentials
	version   filesVersion // version of the files at the last check
	lastCheck time.Time    // time of the last check
}

// NewSource reads the files and returns an error if they are not valid. The
// logger may be nil.
func NewSource(files Files, logger *zap.Logger) (*Source, error) {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Source{files: files, logger: logger, now: time.Now}
	s.version = files.version()
	creds, err := files.load()
	if err != nil {
		return nil, err
	}
	s.current = creds
	s.lastCheck = s.now()
	return s, nil
}

// Server returns the configuration for a listener. Clients must present a
// certificate signed by the authorities. Each handshake uses the latest files, so
// the configuration stays valid when they change.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(), nil },
		// Listeners of the standard library require a certificate here, although
		// the handshake uses the one of GetConfigForClient.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.latest().cert, nil },
	}
}

func (s *Source) serverConfig() *tls.Config {
	creds := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    creds.roots,
	}
}

// Client returns the configuration for one connection to a server. The server's
// certificate is verified against the name or IP address that is dialed. Call it
// for each connection: the configuration does not follow later changes of the
// files.
func (s *Source) Client() *tls.Config {
	creds := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		RootCAs:      creds.roots,
	}
}

// latest returns the latest valid credentials. It checks the files for changes if
// the last check is at least checkInterval ago.
func (s *Source) latest() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reload()
	}
	return s.current
}

// reload loads the files if they have changed. If they are not valid, for example
// because the key does not match the certificate, the earlier credentials stay in
// use.
func (s *Source) reload() {
	version := s.files.version()
	if version == s.version {
		return
	}
	s.version = version
	creds, err := s.files.load()
	if err != nil {
		logevent.Log(s.logger, logevent.CertificatesRejected, zap.Error(err))
		return
	}
	s.current = creds
	logevent.Log(s.logger, logevent.CertificatesReloaded, zap.String("cert_file", s.files.Cert))
}
