package config

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/service"
)

// Action is what a plan does to a service.
type Action string

const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionRetire    Action = "retire"
	ActionUnchanged Action = "unchanged"
)

// Plan is what publishing would change. It can be kept as JSON and published
// later; changes that others have published in between are then not
// overwritten, since each step names its base.
type Plan struct {
	Offset platformlog.Offset `json:"offset"` // end of the stream that the plan was made from
	Steps  []PlanStep         `json:"steps"`
}

// PlanStep is the change of one service.
type PlanStep struct {
	Service         ident.Service      `json:"service"`
	Action          Action             `json:"action"`
	ExpectedVersion platformlog.Offset `json:"base"`
	Path            string             `json:"path,omitempty"`
	Content         string             `json:"content,omitempty"` // digest of the encoded configuration
	Differences     []Difference       `json:"differences,omitempty"`
	Warnings        []string           `json:"warnings,omitempty"`

	spec *service.Spec
}

// Changes returns the number of steps that change something.
func (p *Plan) Changes() int {
	n := 0
	for i := range p.Steps {
		if p.Steps[i].Action != ActionUnchanged {
			n++
		}
	}
	return n
}

// NewPlan compares the candidates with the state. Services that no file
// configures stay as they are unless they are named in retire.
func NewPlan(st *State, candidates []Candidate, retire []ident.Service) (*Plan, error) {
	p := &Plan{Offset: st.Covered()}
	for i := range candidates {
		step, err := planPublish(st, &candidates[i])
		if err != nil {
			return nil, err
		}
		p.Steps = append(p.Steps, step)
	}
	for _, svc := range retire {
		step, err := planRetire(st, candidates, svc)
		if err != nil {
			return nil, err
		}
		p.Steps = append(p.Steps, step)
	}
	return p, nil
}

func planPublish(st *State, c *Candidate) (PlanStep, error) {
	body, err := c.Spec.MarshalMsg(nil)
	if err != nil {
		return PlanStep{}, fmt.Errorf("config: the configuration of %s can't be encoded: %w", c.Spec.Name, err)
	}
	step := PlanStep{
		Service:         c.Spec.Name,
		Action:          ActionCreate,
		ExpectedVersion: st.Version(c.Spec.Name),
		Path:            c.Path,
		Content:         digest(body),
		spec:            c.Spec,
	}
	e := st.Entry(c.Spec.Name)
	if e == nil || e.Kind == KindRetire {
		step.Differences = Diff(nil, c.Spec)
		return step, nil
	}
	step.Action = ActionUpdate
	if e.Kind == KindPublish && e.Schema == Schema && bytes.Equal(e.Body, body) {
		step.Action = ActionUnchanged
		return step, nil
	}
	current, err := e.spec(st.knownSchema())
	if err != nil {
		step.Warnings = append(step.Warnings, err.Error())
	}
	step.Differences = Diff(current, c.Spec)
	step.Warnings = append(step.Warnings, riskyChanges(current, c.Spec)...)
	return step, nil
}

// riskyChanges names changes that alter who owns a key.
func riskyChanges(before, after *service.Spec) []string {
	if before == nil {
		return nil
	}
	var warnings []string
	if before.Key != after.Key {
		warnings = append(warnings, "the key rule changes: daemons that have it and daemons that do not yet have it send the same request to different owners for some seconds")
	}
	if before.Fenced != after.Fenced {
		warnings = append(warnings, "check_tokens changes: set it to true only once every target of the service checks fencing tokens")
	}
	return warnings
}

func planRetire(st *State, candidates []Candidate, svc ident.Service) (PlanStep, error) {
	for i := range candidates {
		if candidates[i].Spec.Name == svc {
			return PlanStep{}, fmt.Errorf("config: service %s is to be retired but %s configures it; remove the file or leave out --retire", svc, candidates[i].Path)
		}
	}
	e := st.Entry(svc)
	if e == nil {
		return PlanStep{}, fmt.Errorf("config: service %s is to be retired but was never published; check its name with parsley status", svc)
	}
	step := PlanStep{Service: svc, Action: ActionRetire, ExpectedVersion: e.Version}
	if e.Kind == KindRetire {
		step.Action = ActionUnchanged
	}
	return step, nil
}

// Bind attaches the candidates to a plan that was read from JSON. It fails if
// a file has changed since the plan was made.
func (p *Plan) Bind(candidates []Candidate) error {
	byName := map[ident.Service]*Candidate{}
	for i := range candidates {
		byName[candidates[i].Spec.Name] = &candidates[i]
	}
	for i := range p.Steps {
		if err := p.Steps[i].bind(byName[p.Steps[i].Service]); err != nil {
			return err
		}
	}
	return nil
}

func (s *PlanStep) bind(c *Candidate) error {
	if s.Action == ActionRetire || s.Action == ActionUnchanged {
		return nil
	}
	if c == nil {
		return fmt.Errorf("config: the plan holds service %s but no file configures it; make a new plan", s.Service)
	}
	body, err := c.Spec.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("config: the configuration of %s can't be encoded: %w", s.Service, err)
	}
	if digest(body) != s.Content {
		return fmt.Errorf("config: %s has changed since the plan was made; make a new plan", c.Path)
	}
	s.spec = c.Spec
	return nil
}

func digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
