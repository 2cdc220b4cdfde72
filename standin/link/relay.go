package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	helloTimeout     = 10 * time.Second
	copyBufferSize   = 32 << 10 // bytes
	lengthPrefixSize = 4        // bytes of a frame's length prefix
)

// relay forwards data in both directions until either end closes its
// connection.
func (n *Network) relay(ctx context.Context, client net.Conn, r Route) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = client.Close() })
	from, hello, err := readHello(client)
	if err != nil {
		return
	}
	if err := n.wait(ctx, from, r.Instance); err != nil {
		return
	}
	var d net.Dialer
	server, err := d.DialContext(ctx, "tcp", r.Forward)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if _, err := server.Write(hello); err != nil {
		return
	}
	go func() {
		defer cancel()
		n.pump(ctx, server, client, from, r.Instance)
	}()
	go func() {
		defer cancel()
		n.waitForReset(ctx, from, r.Instance)
	}()
	n.pump(ctx, client, server, r.Instance, from)
}

// readHello reads the Hello that opens a connection. It returns the sender and
// the encoded frame.
func readHello(conn net.Conn) (ident.Instance, []byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", nil, err
	}
	prefix := make([]byte, lengthPrefixSize)
	if _, err := io.ReadFull(conn, prefix); err != nil {
		return "", nil, err
	}
	length := binary.BigEndian.Uint32(prefix)
	if length > wire.MaxHello {
		return "", nil, &wire.OversizeError{Size: uint64(length), Limit: wire.MaxHello}
	}
	frame := make([]byte, lengthPrefixSize+int(length))
	copy(frame, prefix)
	if _, err := io.ReadFull(conn, frame[lengthPrefixSize:]); err != nil {
		return "", nil, err
	}
	f, err := wire.NewReader(bytes.NewReader(frame), wire.MaxHello).Next()
	if err != nil {
		return "", nil, err
	}
	defer f.Release()
	var hello wire.Hello
	if err := f.Decode(&hello); err != nil {
		return "", nil, err
	}
	return hello.Node.Instance, frame, conn.SetReadDeadline(time.Time{})
}

// pump copies the data that instance from sends to instance to from src to dst,
// while the link passes data.
func (n *Network) pump(ctx context.Context, dst, src net.Conn, from, to ident.Instance) {
	buffer := make([]byte, copyBufferSize)
	for {
		size, err := src.Read(buffer)
		if size > 0 {
			if n.wait(ctx, from, to) != nil {
				return
			}
			if _, err := dst.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait blocks until the link passes data. It returns net.ErrClosed if the link
// is reset.
func (n *Network) wait(ctx context.Context, from, to ident.Instance) error {
	for {
		act, changed := n.gate.get(from, to)
		switch act {
		case pass:
			return nil
		case reset:
			return net.ErrClosed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForReset returns when the link is reset in either direction or ctx is
// done.
func (n *Network) waitForReset(ctx context.Context, a, b ident.Instance) {
	for {
		forward, changed := n.gate.get(a, b)
		backward, _ := n.gate.get(b, a)
		if forward == reset || backward == reset {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
