package daemon

import (
	"context"
	"fmt"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/transport"
)

// ownersClient implements directory.Client over the daemons' connections.
type ownersClient struct {
	pool *transport.Pool
}

// Query implements directory.Client.
func (c *ownersClient) Query(ctx context.Context, addr string, q directory.Query) (*directory.Answer, error) {
	body, err := q.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	reply, err := c.pool.Call(ctx, addr, callOwners, body)
	if err != nil {
		return nil, err
	}
	answer := new(directory.Answer)
	if _, err := answer.UnmarshalMsg(reply); err != nil {
		return nil, fmt.Errorf("daemon: owners answer of %s is malformed: %w", addr, err)
	}
	return answer, nil
}

// Pull implements config.PeerClient.
func (d *Daemon) Pull(ctx context.Context, peer ident.Node, p config.Pull) (*config.PullAnswer, error) {
	addr, ok := d.peerAddr(peer)
	if !ok {
		return nil, fmt.Errorf("daemon: no address of %s is known; wait until it has joined the cell", peer)
	}
	body, err := p.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	reply, err := d.pool.Call(ctx, addr, callConfig, body)
	if err != nil {
		return nil, err
	}
	answer := new(config.PullAnswer)
	if _, err := answer.UnmarshalMsg(reply); err != nil {
		return nil, fmt.Errorf("daemon: configuration answer of %s is malformed: %w", peer, err)
	}
	return answer, nil
}

// peerAddr returns the address of a member of the local cell.
func (d *Daemon) peerAddr(node ident.Node) (string, bool) {
	member := d.member.Load()
	if member == nil {
		return "", false
	}
	m, ok := member.View().Member(node)
	return m.Addr, ok
}

// cellAddrs returns the addresses of the other members of the local cell.
func (d *Daemon) cellAddrs() []string {
	member := d.member.Load()
	if member == nil {
		return nil
	}
	var addrs []string
	for _, m := range member.View().Members {
		if m.Node != d.node {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}
