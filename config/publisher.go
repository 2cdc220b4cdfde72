package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// Publisher appends the steps of a plan and finds out what became of them. It
// is not safe for concurrent use.
type Publisher struct {
	Log    platformlog.Log
	Author string
	// Nonce returns a number that no other record has.
	Nonce func() uint64
	// OutcomeTimeout bounds the search for an append whose answer was lost.
	OutcomeTimeout time.Duration
	// PollInterval is the time between reads while an append is unsettled.
	PollInterval time.Duration

	tail    *Tail
	verdict map[uint64]Verdict // by nonce, of the records read since Publish was called
}

// appendAttempts is the number of times that an append without effect is
// repeated.
const appendAttempts = 5

// Plan reads the stream and compares the candidates with it.
func (p *Publisher) Plan(ctx context.Context, candidates []Candidate, retire []ident.Service) (*Plan, error) {
	if err := p.advance(ctx); err != nil {
		return nil, err
	}
	return NewPlan(p.tail.State(), candidates, retire)
}

// Publish carries out the plan. Each step is independent of the others; the
// results stand in the order of the steps.
func (p *Publisher) Publish(ctx context.Context, plan *Plan) ([]Result, error) {
	if p.Author == "" {
		return nil, errors.New("config: a change needs an author; set Publisher.Author")
	}
	if err := p.advance(ctx); err != nil {
		return nil, err
	}
	results := make([]Result, 0, len(plan.Steps))
	for i := range plan.Steps {
		results = append(results, p.step(ctx, &plan.Steps[i]))
	}
	return results, nil
}

func (p *Publisher) advance(ctx context.Context) error {
	if p.tail == nil {
		p.verdict = map[uint64]Verdict{}
		p.tail = NewTail(p.Log, p.note)
	}
	return p.tail.Advance(ctx)
}

func (p *Publisher) step(ctx context.Context, s *PlanStep) Result {
	if s.Action == ActionUnchanged {
		return Result{Service: s.Service, Kind: ResultUnchanged}
	}
	if p.tail.State().Version(s.Service) != s.ExpectedVersion {
		return p.lost(s)
	}
	change, err := s.change(p.Author, p.Nonce())
	if err != nil {
		return failed(s, err)
	}
	payload, err := change.Encode()
	if err != nil {
		return failed(s, err)
	}
	if err := p.append(ctx, payload); isRefused(err) {
		return failed(s, err)
	}
	return p.settle(ctx, s, change.Nonce)
}

// isRefused reports whether an append is known to have had no effect.
func isRefused(err error) bool {
	var unavailable *platformlog.UnavailableError
	return errors.As(err, &unavailable)
}

// wants reports whether the step asks for what the entry already holds.
func (s *PlanStep) wants(e *Entry) bool {
	if s.Action == ActionRetire {
		return e.Kind == KindRetire
	}
	return e.Kind == KindPublish && e.Schema == Schema && s.Content == digest(e.Body)
}

func (s *PlanStep) change(author string, nonce uint64) (*Change, error) {
	if s.Action == ActionRetire {
		return NewRetire(s.Service, s.ExpectedVersion, author, nonce), nil
	}
	if s.spec == nil {
		return nil, fmt.Errorf("config: the plan of service %s has no configuration; call Plan.Bind with the service files", s.Service)
	}
	return NewPublish(s.spec, s.ExpectedVersion, author, nonce)
}

// append repeats an append only while the log says that it had no effect.
func (p *Publisher) append(ctx context.Context, payload []byte) error {
	for attempt := 1; ; attempt++ {
		_, err := p.Log.Append(ctx, Stream, payload)
		var unavailable *platformlog.UnavailableError
		if !errors.As(err, &unavailable) || attempt == appendAttempts {
			return err
		}
		if err := p.wait(ctx); err != nil {
			return unavailable
		}
	}
}

// settle reads on until the change shows up or another one has made it void.
func (p *Publisher) settle(ctx context.Context, s *PlanStep, nonce uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, p.OutcomeTimeout)
	defer cancel()
	for {
		err := p.advance(ctx)
		if err == nil {
			if r, done := p.outcome(s, nonce); done {
				return r
			}
			err = errors.New("the change has not shown up in the stream")
		}
		if p.wait(ctx) != nil {
			e := &UnsettledError{Service: s.Service, Base: s.ExpectedVersion, Cause: err}
			return Result{Service: s.Service, Kind: ResultIndeterminate, Error: e.Error(), Err: e}
		}
	}
}

func (p *Publisher) note(v Verdict) {
	if v.Change != nil && v.Outcome != AlreadyApplied {
		p.verdict[v.Change.Nonce] = v
	}
}

// outcome tells the end of a step, if it has come. A change whose base is no
// longer the service's version is void wherever it may yet land.
func (p *Publisher) outcome(s *PlanStep, nonce uint64) (Result, bool) {
	v, seen := p.verdict[nonce]
	e := p.tail.State().Entry(s.Service)
	switch {
	case seen && v.Outcome == Accepted:
		return Result{Service: s.Service, Kind: ResultAccepted, Version: v.Offset}, true
	case e != nil && e.Nonce == nonce:
		return Result{Service: s.Service, Kind: ResultAccepted, Version: e.Version}, true
	case seen || p.tail.State().Version(s.Service) != s.ExpectedVersion:
		return p.lost(s), true
	}
	return Result{}, false
}

// lost returns the result of a change that another one came before. If both
// have the same content there is nothing that the publisher has to do.
func (p *Publisher) lost(s *PlanStep) Result {
	e := p.tail.State().Entry(s.Service)
	if e != nil && s.wants(e) {
		return Result{Service: s.Service, Kind: ResultUnchanged, Version: e.Version}
	}
	lost := &LostError{Service: s.Service, Base: s.ExpectedVersion}
	if e != nil {
		lost.Winner = e.Version
		lost.Author = e.Author
		lost.Time = time.Unix(0, e.Time)
		lost.Retired = e.Kind == KindRetire
		lost.Differences = differencesTo(e, s.spec)
	}
	return Result{Service: s.Service, Kind: ResultConflict, Error: lost.Error(), Err: lost}
}

func differencesTo(e *Entry, spec *service.Spec) []Difference {
	current, err := e.spec(Schema)
	if err != nil || current == nil {
		return nil
	}
	return Diff(current, spec)
}

func failed(s *PlanStep, err error) Result {
	return Result{Service: s.Service, Kind: ResultFailed, Error: err.Error(), Err: err}
}

func (p *Publisher) wait(ctx context.Context) error {
	timer := time.NewTimer(p.PollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
