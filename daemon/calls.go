package daemon

import (
	"context"
	"fmt"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/directory"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// The questions that daemons ask each other.
const (
	// callOwners carries a directory.Query and is answered by a directory.Answer.
	callOwners wire.CallKind = 1
	// callConfig carries a config.Pull and is answered by a config.PullAnswer.
	callConfig wire.CallKind = 2
)

// ServeCall implements transport.Handler.
func (d *Daemon) ServeCall(_ context.Context, _ ident.Node, kind wire.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callOwners:
		return d.answerOwners(body)
	case callConfig:
		return d.answerConfig(body)
	}
	return nil, fmt.Errorf("daemon: call kind %d is not known; run daemons of the same version", kind)
}

func (d *Daemon) answerOwners(body []byte) ([]byte, error) {
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

// localOwners returns what the own member of the service's cell knows, or nil.
func (d *Daemon) localOwners(svc ident.Service) *directory.Answer {
	member := d.member.Load()
	if svc != d.settings.Service || member == nil {
		return nil
	}
	answer := directory.NewAnswer(member.View())
	return &answer
}

func (d *Daemon) answerConfig(body []byte) ([]byte, error) {
	var p config.Pull
	if _, err := p.UnmarshalMsg(body); err != nil {
		return nil, fmt.Errorf("daemon: configuration pull is malformed: %w", err)
	}
	return d.follower.Answer(p).MarshalMsg(nil)
}
