package transport

import (
	"crypto/tls"
	"fmt"
	"net"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// IdentityError reports a peer that names itself differently from its
// certificate.
type IdentityError struct {
	Named       ident.Instance // in its Hello
	Certificate string         // common name of its certificate
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("transport: peer names itself %q, but its certificate is that of %q; issue a certificate whose common name or DNS name is the instance's name", e.Named, e.Certificate)
}

// checkIdentity returns an *IdentityError if the connection has TLS and the
// certificate of the peer is not that of the instance that it names in its
// Hello. A daemon can then not act for another one.
func checkIdentity(conn net.Conn, peer *wire.Hello) error {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := t.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return &IdentityError{Named: peer.Node.Instance}
	}
	cert, name := certificates[0], string(peer.Node.Instance)
	if cert.Subject.CommonName == name || slices.Contains(cert.DNSNames, name) {
		return nil
	}
	return &IdentityError{Named: peer.Node.Instance, Certificate: cert.Subject.CommonName}
}
