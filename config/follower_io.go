package config

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platformlog"
)

var errNoPeerClient = errors.New("config: no client for peers; set FollowerConfig.Peers")

func (f *Follower) read(ctx context.Context, r Read) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.cfg.Log.Read(readCtx, Stream, r.From, r.Limit)
	f.send(ctx, readEvent(r, batch, err))
}

func readEvent(r Read, batch platformlog.Batch, err error) Event {
	var truncated *platformlog.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return LogTruncated{From: r.From, Earliest: truncated.Earliest}
	case err != nil:
		return LogFailed{Err: err}
	}
	return LogRead{From: r.From, Batch: batch, Wall: time.Now().UnixNano()}
}

func (f *Follower) pull(ctx context.Context, p PullFromPeer) {
	if f.cfg.Peers == nil {
		f.send(ctx, PullFailed{Peer: p.Peer, Err: errNoPeerClient})
		return
	}
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := f.cfg.Peers.Pull(pullCtx, p.Peer, p.Pull)
	if err != nil {
		f.send(ctx, PullFailed{Peer: p.Peer, Err: err})
		return
	}
	f.send(ctx, Pulled{Peer: p.Peer, Answer: answer})
}

func (f *Follower) appendSnapshot(ctx context.Context, payload []byte) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := f.cfg.Log.Append(appendCtx, Stream, payload)
	if err == nil {
		logevent.Log(f.cfg.Logger, logevent.ConfigSnapshot, zap.Uint64("offset", uint64(offset)), zap.Int("bytes", len(payload)))
	} else if ctx.Err() == nil {
		logevent.Log(f.cfg.Logger, logevent.ConfigSnapshotFailed, zap.Error(err), zap.Int("bytes", len(payload)))
	}
	f.send(ctx, SnapshotDone{Err: err})
}
