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
	helloTimeout   = 10 * time.Second
	copyBufferSize = 32 << 10 // bytes
	lengthSize     = 4        // bytes of a frame's length prefix
)

// relay carries one connection until either side closes it.
func (n *Network) relay(ctx context.Context, opener net.Conn, r Route) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = opener.Close() })
	from, hello, err := readOpening(opener)
	if err != nil {
		return
	}
	if err := n.wait(ctx, from, r.Instance); err != nil {
		return
	}
	var d net.Dialer
	target, err := d.DialContext(ctx, "tcp", r.Forward)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _ = target.Close() })
	if _, err := target.Write(hello); err != nil {
		return
	}
	go func() {
		defer cancel()
		n.pump(ctx, target, opener, from, r.Instance)
	}()
	go func() {
		defer cancel()
		n.resetOnCut(ctx, from, r.Instance)
	}()
	n.pump(ctx, opener, target, r.Instance, from)
}

// readOpening reads the Hello of a connection's opener.
func readOpening(conn net.Conn) (ident.Instance, []byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", nil, err
	}
	prefix := make([]byte, lengthSize)
	if _, err := io.ReadFull(conn, prefix); err != nil {
		return "", nil, err
	}
	length := binary.BigEndian.Uint32(prefix)
	if length > wire.MaxHello {
		return "", nil, &wire.OversizeError{Size: uint64(length), Limit: wire.MaxHello}
	}
	frame := make([]byte, lengthSize+int(length))
	copy(frame, prefix)
	if _, err := io.ReadFull(conn, frame[lengthSize:]); err != nil {
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

// pump copies from src to dst what from sends to to.
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

// wait returns when the link passes data, or net.ErrClosed if it is reset.
func (n *Network) wait(ctx context.Context, from, to ident.Instance) error {
	for {
		v, changed := n.gate.get(from, to)
		switch v {
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

// resetOnCut returns when the link is reset in either direction.
func (n *Network) resetOnCut(ctx context.Context, a, b ident.Instance) {
	for {
		forth, changed := n.gate.get(a, b)
		back, _ := n.gate.get(b, a)
		if forth == reset || back == reset {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
