package config

import (
	"context"
	"errors"
	"fmt"
)

// Reset makes the candidates the whole configuration after records have expired
// without being covered by a snapshot. It fails if the state can still be rebuilt
// from the stream. The reset is rejected if a change is appended before it.
func (p *Publisher) Reset(ctx context.Context, candidates []Candidate) error {
	err := p.advance(ctx)
	var truncated *TruncatedError
	if err == nil {
		return errors.New("config: the configuration is known, so a reset would discard accepted changes; publish without --reset")
	}
	if !errors.As(err, &truncated) {
		return err
	}
	nonce := p.Nonce()
	snap, err := p.resetSnapshot(candidates)
	if err != nil {
		return err
	}
	payload, err := snap.encode(KindReset, p.Author, nonce)
	if err != nil {
		return err
	}
	if err := p.append(ctx, payload); notAppended(err) {
		return err
	}
	return p.awaitReset(ctx, nonce)
}

func (p *Publisher) resetSnapshot(candidates []Candidate) (*Snapshot, error) {
	snap := &Snapshot{Covered: p.tail.End()}
	for i := range candidates {
		c, err := NewPublish(candidates[i].Spec, 0, p.Author, 0)
		if err != nil {
			return nil, err
		}
		snap.Entries = append(snap.Entries, Entry{
			Service: c.Service,
			Kind:    c.Kind,
			Schema:  c.Schema,
			Body:    c.Body,
		})
	}
	return snap, nil
}

func (p *Publisher) awaitReset(ctx context.Context, nonce uint64) error {
	ctx, cancel := context.WithTimeout(ctx, p.OutcomeTimeout)
	defer cancel()
	for {
		err := p.advance(ctx)
		if v, seen := p.verdicts[nonce]; seen && v.Outcome == Accepted {
			return nil
		}
		if err == nil {
			return errors.New("config: another reset was accepted first; run parsley plan to see the state in force")
		}
		if p.wait(ctx) != nil {
			return fmt.Errorf("config: the reset has not appeared in the stream: %w; run parsley plan when the log service is available", err)
		}
	}
}
