package config

import (
	"context"
	"errors"
	"fmt"
)

// Reset puts the candidates into force as the whole configuration after the
// records of the stream were lost. It is refused while the state is known. The
// reset is void if a change is appended before it lands.
func (p *Publisher) Reset(ctx context.Context, candidates []Candidate) error {
	err := p.advance(ctx)
	var gap *TruncatedError
	if err == nil {
		return errors.New("config: the configuration is known, so a reset would discard accepted changes; publish without --reset")
	}
	if !errors.As(err, &gap) {
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
	if err := p.append(ctx, payload); isRefused(err) {
		return err
	}
	return p.settleReset(ctx, nonce)
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

func (p *Publisher) settleReset(ctx context.Context, nonce uint64) error {
	ctx, cancel := context.WithTimeout(ctx, p.OutcomeTimeout)
	defer cancel()
	for {
		err := p.advance(ctx)
		if v, seen := p.verdict[nonce]; seen && v.Outcome == Accepted {
			return nil
		}
		if err == nil {
			return errors.New("config: another reset came first; run parsley plan to see the state in force")
		}
		if p.wait(ctx) != nil {
			return fmt.Errorf("config: the reset has not shown up in the stream: %w; run parsley plan when the log service answers", err)
		}
	}
}
