package transport

import (
	"crypto/tls"
	"fmt"
	"net"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// IdentityError reports a peer whose Hello states an instance that its
// certificate was not issued for.
type IdentityError struct {
	Instance   ident.Instance // instance stated in the peer's Hello
	CommonName string         // common name of the peer's certificate; empty without one
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("transport: peer identifies as instance %q, but its certificate was issued to %q; issue a certificate whose common name or DNS name is the instance's name", e.Instance, e.CommonName)
}

// checkIdentity returns an *IdentityError if the connection uses TLS and the
// peer's certificate was not issued for the instance in its Hello. This prevents
// a daemon from impersonating another one.
func checkIdentity(conn net.Conn, peer *wire.Hello) error {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := t.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return &IdentityError{Instance: peer.Node.Instance}
	}
	cert, name := certificates[0], string(peer.Node.Instance)
	if cert.Subject.CommonName == name || slices.Contains(cert.DNSNames, name) {
		return nil
	}
	return &IdentityError{Instance: peer.Node.Instance, CommonName: cert.Subject.CommonName}
}
