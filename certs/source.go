package certs

import (
	"crypto/tls"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Source holds the newest files that fit together. It is safe for concurrent
// use.
type Source struct {
	files  Files
	logger *zap.Logger
	now    func() time.Time

	mu      sync.Mutex
	current *material
	stamp   stamp     // version of the files that was looked at last
	checked time.Time // time of that look
}

// NewSource reads the files. The logger may be nil.
func NewSource(files Files, logger *zap.Logger) (*Source, error) {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Source{files: files, logger: logger, now: time.Now}
	s.stamp = files.stamp()
	m, err := files.load()
	if err != nil {
		return nil, err
	}
	s.current = m
	s.checked = s.now()
	return s, nil
}

// Server returns the configuration of a listener that asks for the client's
// certificate and checks it. It follows the files by itself.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverNow(), nil },
		// Listeners of the standard library ask for a certificate here although
		// the handshake takes the one of GetConfigForClient.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.newest().cert, nil },
	}
}

func (s *Source) serverNow() *tls.Config {
	m := s.newest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.roots,
	}
}

// Client returns the configuration for one connection to a server, whose
// certificate is checked against the name or IP address that is dialed. Call
// it for each connection: the authorities are those of the time of the call.
func (s *Source) Client() *tls.Config {
	m := s.newest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.roots,
	}
}

// newest returns the newest material, after a look at the files if the last one
// is too old.
func (s *Source) newest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.reload()
	}
	return s.current
}

// reload takes over changed files if they fit together.
func (s *Source) reload() {
	present := s.files.stamp()
	if present == s.stamp {
		return
	}
	s.stamp = present
	m, err := s.files.load()
	if err != nil {
		logevent.Log(s.logger, logevent.CertificatesRejected, zap.Error(err))
		return
	}
	s.current = m
	logevent.Log(s.logger, logevent.CertificatesReloaded, zap.String("cert_file", s.files.Cert))
}
