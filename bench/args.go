package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/measure"
)

// Args holds the arguments of the bench command, parsed by go-arg.
type Args struct {
	Entries     []string      `arg:"--entry,separate" help:"address of a daemon's port for callers; repeat or separate by commas"`
	Variants    []string      `arg:"--also,separate" help:"another variant to run in turn, as name=addr,addr"`
	Baseline    []string      `arg:"--baseline,separate" help:"address of a target that is called directly as the variant direct"`
	Targets     []string      `arg:"--target,separate" help:"address of a target whose run records are verified"`
	RunFiles    []string      `arg:"--runs,separate" help:"file of a target's run records, read and verified at the end"`
	Processes   []string      `arg:"--process,separate" help:"process whose CPU time and memory are measured, as label=pid"`
	Mix         string        `arg:"--mix" default:"perizia" help:"built-in mix: perizia or raumtafel"`
	Ops         []string      `arg:"--op,separate" help:"operation in place of the mix, as name:method:path:weight:timeout with {key} in the path"`
	Phases      string        `arg:"--phases" default:"200x10s" help:"rates and durations, as 1000x10s,2000x10s"`
	Rounds      int           `arg:"--rounds" default:"1" help:"number of times that all variants run in turn"`
	Keys        int           `arg:"--keys" default:"10000" help:"number of keys"`
	KeyPrefix   string        `arg:"--key-prefix" default:"k" help:"prefix of keys"`
	Zipf        float64       `arg:"--zipf" default:"1.1" help:"Zipf exponent above 1, 0 for uniform keys"`
	Hot         int           `arg:"--hot" default:"10" help:"number of most popular keys that rotate"`
	Rotation    time.Duration `arg:"--rotation" default:"30s" help:"time between changes of the hot keys, 0 keeps them"`
	MaxInFlight int           `arg:"--max-in-flight" default:"4096" help:"maximum requests in flight"`
	MaxConns    int           `arg:"--max-conns" default:"1024" help:"maximum connections to one address"`
	Generators  int           `arg:"--generators" default:"4" help:"number of sending goroutines"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the schedule, operations and keys"`
	RunID       string        `arg:"--run-id" help:"prefix of request ids; by default derived from the time"`
	Divided     bool          `arg:"--divided" help:"verify that a key has one owner at a time"`
	CSV         string        `arg:"--csv" help:"file for the report as CSV"`
	TimelineCSV string        `arg:"--timeline-csv" help:"file for the counts of each second as CSV"`
}

// directName is the name of the variant that sends requests directly to targets.
const directName = "direct"

// configs returns one Config for each variant that the arguments describe.
func (a *Args) configs() ([]Config, error) {
	base, err := a.baseConfig()
	if err != nil {
		return nil, err
	}
	var configs []Config
	add := func(name string, direct bool, addrs []string) {
		c := base
		c.Name, c.Direct, c.Addrs = name, direct, addrs
		c.RunID += "-" + name
		configs = append(configs, c)
	}
	if len(a.Entries) > 0 {
		add("daemons", false, splitAll(a.Entries))
	}
	for _, s := range a.Variants {
		name, addrs, found := strings.Cut(s, "=")
		if !found {
			return nil, fmt.Errorf("bench: variant %q is not of the form name=addr,addr", s)
		}
		add(name, false, splitAll([]string{addrs}))
	}
	if len(a.Baseline) > 0 {
		add(directName, true, splitAll(a.Baseline))
	}
	if len(configs) == 0 {
		return nil, fmt.Errorf("bench: no address is given; use --entry, --also or --baseline")
	}
	return configs, nil
}

func (a *Args) baseConfig() (Config, error) {
	mix, err := a.mix()
	if err != nil {
		return Config{}, err
	}
	phases, err := ParsePhases(a.Phases)
	if err != nil {
		return Config{}, err
	}
	runID := a.RunID
	if runID == "" {
		runID = fmt.Sprintf("%x", time.Now().UnixNano())
	}
	return Config{
		Mix:    mix,
		Phases: phases,
		Keys: KeyConfig{
			Count:    a.Keys,
			Exponent: a.Zipf,
			Hot:      a.Hot,
			Rotation: a.Rotation,
			Prefix:   a.KeyPrefix,
		},
		MaxInFlight: a.MaxInFlight,
		MaxConns:    a.MaxConns,
		Generators:  a.Generators,
		Seed:        a.Seed,
		RunID:       runID,
	}, nil
}

func (a *Args) mix() (Mix, error) {
	if len(a.Ops) == 0 {
		return MixNamed(a.Mix)
	}
	var mix Mix
	for _, s := range a.Ops {
		op, err := ParseOp(s)
		if err != nil {
			return nil, err
		}
		mix = append(mix, op)
	}
	return mix, nil
}

func (a *Args) processes() ([]measure.Process, error) {
	var processes []measure.Process
	for _, s := range a.Processes {
		p, err := measure.ParseProcess(s)
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
	}
	return processes, nil
}

func splitAll(lists []string) []string {
	var all []string
	for _, l := range lists {
		all = append(all, strings.Split(l, ",")...)
	}
	return all
}
