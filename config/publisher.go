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

// Publisher appends the changes of a plan to the stream and determines the
// outcome of each. It is not safe for concurrent use.
type Publisher struct {
	Log    platformlog.Log
	Author string
	// Nonce returns a number that is unique among the records of the stream.
	Nonce func() uint64
	// OutcomeTimeout bounds the time for which the stream is read to determine the
	// outcome of one step.
	OutcomeTimeout time.Duration
	// PollInterval is the time between reads while the outcome of an append is
	// indeterminate, and between attempts to append.
	PollInterval time.Duration

	tail     *Tail
	verdicts map[uint64]Verdict // by nonce; of the records read by this Publisher
}

// appendAttempts is the number of attempts to append a record while each attempt
// is known to have had no effect.
const appendAttempts = 5

// Plan reads the stream up to its end and compares the candidates with the state.
func (p *Publisher) Plan(ctx context.Context, candidates []Candidate, retire []ident.Service) (*Plan, error) {
	if err := p.advance(ctx); err != nil {
		return nil, err
	}
	return NewPlan(p.tail.State(), candidates, retire)
}

// Publish executes the plan. Each step succeeds or fails independently of the
// others; the results are in the order of the steps.
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
		p.verdicts = map[uint64]Verdict{}
		p.tail = NewTail(p.Log, p.recordVerdict)
	}
	return p.tail.Advance(ctx)
}

func (p *Publisher) step(ctx context.Context, s *PlanStep) Result {
	if s.Action == ActionUnchanged {
		return Result{Service: s.Service, Kind: ResultUnchanged}
	}
	if p.tail.State().Version(s.Service) != s.ExpectedVersion {
		return p.conflict(s)
	}
	change, err := s.change(p.Author, p.Nonce())
	if err != nil {
		return failed(s, err)
	}
	payload, err := change.Encode()
	if err != nil {
		return failed(s, err)
	}
	if err := p.append(ctx, payload); notAppended(err) {
		return failed(s, err)
	}
	return p.awaitOutcome(ctx, s, change.Nonce)
}

// notAppended reports whether an append is known to have had no effect.
func notAppended(err error) bool {
	var unavailable *platformlog.UnavailableError
	return errors.As(err, &unavailable)
}

// matches reports whether the entry already has the content that the step would
// publish.
func (s *PlanStep) matches(e *Entry) bool {
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
		return nil, fmt.Errorf("config: the plan step for service %s has no configuration; call Plan.Bind with the service files", s.Service)
	}
	return NewPublish(s.spec, s.ExpectedVersion, author, nonce)
}

// append retries an append only if it is known to have had no effect.
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

// awaitOutcome reads the stream until the change is found or another change of
// the service has been accepted, which rules this one out.
func (p *Publisher) awaitOutcome(ctx context.Context, s *PlanStep, nonce uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, p.OutcomeTimeout)
	defer cancel()
	for {
		err := p.advance(ctx)
		if err == nil {
			if r, done := p.outcome(s, nonce); done {
				return r
			}
			err = errors.New("the change has not appeared in the stream")
		}
		if p.wait(ctx) != nil {
			e := &IndeterminateError{Service: s.Service, ExpectedVersion: s.ExpectedVersion, Cause: err}
			return Result{Service: s.Service, Kind: ResultIndeterminate, Error: e.Error(), Err: e}
		}
	}
}

func (p *Publisher) recordVerdict(v Verdict) {
	if v.Change != nil && v.Outcome != AlreadyApplied {
		p.verdicts[v.Change.Nonce] = v
	}
}

// outcome returns the result of a step if it is determined. If the service no
// longer has the version that the change expects, the change is rejected even if
// its append takes effect later.
func (p *Publisher) outcome(s *PlanStep, nonce uint64) (Result, bool) {
	v, seen := p.verdicts[nonce]
	e := p.tail.State().Entry(s.Service)
	switch {
	case seen && v.Outcome == Accepted:
		return Result{Service: s.Service, Kind: ResultAccepted, Version: v.Offset}, true
	case e != nil && e.Nonce == nonce:
		return Result{Service: s.Service, Kind: ResultAccepted, Version: e.Version}, true
	case seen || p.tail.State().Version(s.Service) != s.ExpectedVersion:
		return p.conflict(s), true
	}
	return Result{}, false
}

// conflict returns the result of a step after another change of the service was
// accepted first. If that change has the same content, nothing is left to publish.
func (p *Publisher) conflict(s *PlanStep) Result {
	e := p.tail.State().Entry(s.Service)
	if e != nil && s.matches(e) {
		return Result{Service: s.Service, Kind: ResultUnchanged, Version: e.Version}
	}
	conflict := &ConflictError{Service: s.Service, ExpectedVersion: s.ExpectedVersion}
	if e != nil {
		conflict.CurrentVersion = e.Version
		conflict.Author = e.Author
		conflict.Time = time.Unix(0, e.Time)
		conflict.Retired = e.Kind == KindRetire
		conflict.Differences = differencesTo(e, s.spec)
	}
	return Result{Service: s.Service, Kind: ResultConflict, Error: conflict.Error(), Err: conflict}
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
