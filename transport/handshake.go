package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/parsleystack/parsleystack/wire"
)

// readHello reads the peer's Hello and checks that both sides share a protocol
// version.
func readHello(r *wire.Reader, local *wire.Hello) (wire.Hello, error) {
	f, err := r.Next()
	if err != nil {
		return wire.Hello{}, err
	}
	defer f.Release()
	if f.Kind != wire.KindHello {
		return wire.Hello{}, &wire.MalformedError{Detail: "first frame is not a hello"}
	}
	var peer wire.Hello
	if err := f.Decode(&peer); err != nil {
		return wire.Hello{}, err
	}
	if _, err := wire.Negotiate(local, &peer); err != nil {
		return peer, err
	}
	return peer, nil
}

// writeHello writes the local Hello to conn.
func writeHello(conn net.Conn, hello *wire.Hello) error {
	b, err := wire.Append(nil, wire.KindHello, 0, hello, wire.MaxHello)
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// clientHandshake exchanges Hellos on a dialed connection and checks the peer's
// identity. It bounds the exchange by HandshakeTimeout.
func clientHandshake(conn net.Conn, class Class, cfg *Config) (*wire.Reader, wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(cfg.HandshakeTimeout)); err != nil {
		return nil, wire.Hello{}, err
	}
	hello := cfg.Hello
	hello.Class = uint8(class)
	if err := writeHello(conn, &hello); err != nil {
		return nil, wire.Hello{}, err
	}
	reader := wire.NewReader(conn, wire.MaxHello)
	peer, err := readHello(reader, &hello)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	if err := checkIdentity(conn, &peer); err != nil {
		return nil, wire.Hello{}, err
	}
	configureReader(reader, conn, class, cfg)
	return reader, peer, conn.SetDeadline(time.Time{})
}

// configureReader prepares the reader of a connection of a class for the frames after the
// Hello.
func configureReader(reader *wire.Reader, conn net.Conn, class Class, cfg *Config) {
	if class != ClassControl {
		reader.BufferRequests()
	}
	reader.SetLimit(cfg.MaxFrame)
	reader.SetFrameTimeout(conn, cfg.FrameTimeout)
	reader.SetMemory(cfg.Memory)
}

// serverHandshake exchanges Hellos on an accepted connection, which is read through in, and
// checks the peer's identity. It bounds the exchange by HandshakeTimeout. The local Hello is sent even
// to a peer of an incompatible version, so that the peer can report the mismatch.
func serverHandshake(conn net.Conn, in io.Reader, cfg *Config) (*wire.Reader, wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(cfg.HandshakeTimeout)); err != nil {
		return nil, wire.Hello{}, err
	}
	reader := wire.NewReader(in, wire.MaxHello)
	peer, helloErr := readHello(reader, &cfg.Hello)
	if peer.Magic != wire.Magic {
		return nil, peer, helloErr
	}
	if err := writeHello(conn, &cfg.Hello); err != nil {
		return nil, peer, err
	}
	if helloErr != nil {
		return nil, peer, helloErr
	}
	if err := checkIdentity(conn, &peer); err != nil {
		return nil, peer, err
	}
	if !Class(peer.Class).valid() {
		return nil, peer, &wire.MalformedError{Detail: "unknown traffic class"}
	}
	configureReader(reader, conn, Class(peer.Class), cfg)
	return reader, peer, conn.SetDeadline(time.Time{})
}

// dial connects to addr, with TLS if it is configured.
func dial(ctx context.Context, addr string, cfg *Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.HandshakeTimeout)
	defer cancel()
	config := cfg.clientTLS()
	if config == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	d := tls.Dialer{Config: config}
	return d.DialContext(ctx, "tcp", addr)
}

// clientTLS returns the TLS configuration of one dialed connection, or nil.
func (c *Config) clientTLS() *tls.Config {
	if c.ClientTLS != nil {
		return c.ClientTLS()
	}
	return c.TLS
}
