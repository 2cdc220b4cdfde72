package daemon

import (
	"crypto/tls"
	"net"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/certs"
	"github.com/parsleystack/parsleystack/settings"
	"github.com/parsleystack/parsleystack/transport"
)

// LoadTLS returns the certificates for mutual TLS between daemons and with
// operators, or nil if the settings disable TLS.
func LoadTLS(s *settings.TLS, log *zap.Logger) (*certs.Source, error) {
	if s.Insecure {
		return nil, nil
	}
	return certs.NewSource(certs.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, log)
}

// secureTransport enables TLS between daemons if source is not nil.
func secureTransport(cfg *transport.Config, source *certs.Source) {
	if source == nil {
		return
	}
	cfg.TLS = source.Server()
	cfg.ClientTLS = source.Client
}

// secureListener enables TLS for operators if source is not nil.
func secureListener(l net.Listener, source *certs.Source) net.Listener {
	if source == nil {
		return l
	}
	return tls.NewListener(l, source.Server())
}
