package daemon

import (
	"context"
	"fmt"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// RPCs between daemons.
const (
	// callOwners takes a directory.Query and returns a directory.Answer.
	callOwners wire.CallKind = 1
	// callConfig takes a config.Pull and returns a config.PullAnswer.
	callConfig wire.CallKind = 2
)

// ServeCall implements transport.Handler.
func (d *Daemon) ServeCall(_ context.Context, _ ident.Node, kind wire.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callOwners:
		return d.serveOwners(body)
	case callConfig:
		return d.serveConfig(body)
	}
	return nil, fmt.Errorf("daemon: unknown RPC kind %d; run daemons of the same version", kind)
}

func (d *Daemon) serveOwners(body []byte) ([]byte, error) {
	var q directory.Query
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("daemon: owners query is malformed: %w", err)
	}
	answer := d.localOwners(q.Service)
	if answer == nil {
		answer = d.directory.CachedMembers(q.Service)
	}
	return answer.MarshalMsg(nil)
}

// localOwners returns the owners from the view of this daemon's own cell
// member, or nil if the service is not its own or it has not joined the cell.
func (d *Daemon) localOwners(svc ident.Service) *directory.Answer {
	member := d.member.Load()
	if svc != d.settings.Service || member == nil {
		return nil
	}
	answer := directory.NewAnswer(member.View())
	return &answer
}

func (d *Daemon) serveConfig(body []byte) ([]byte, error) {
	var p config.Pull
	if _, err := p.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("daemon: configuration pull is malformed: %w", err)
	}
	return d.follower.Answer(p).MarshalMsg(nil)
}
