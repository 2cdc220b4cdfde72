package faultreport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/bench"
	"github.com/parsleystack/parsleystack/probe"
	"github.com/parsleystack/parsleystack/settings"
)

// Numbers of log events of daemons, see docs/LOG-EVENTS.md.
const (
	eventDaemonStarted   = 1001
	eventConfigInForce   = 4001
	maxLogLine           = 1 << 20 // bytes
	publishNameSeparator = "-"
)

// Read reads the recorded data of a run for one deployment from the directory of
// the run.
func Read(dir, deployment string, length time.Duration) (*Input, error) {
	in := &Input{Name: deployment, Length: length}
	deploymentDir := filepath.Join(dir, deployment)
	for _, step := range []func() error{
		func() error { return in.readServices(filepath.Join(deploymentDir, "daemons")) },
		func() error { return in.readEvents(filepath.Join(dir, "events.csv")) },
		func() error { return in.readRuns(dir) },
		func() error { return in.readGaps(deploymentDir) },
		func() error { return in.readPublishes(filepath.Join(deploymentDir, "publishes")) },
		func() error { return in.readLogs(dir) },
		func() error { return readJSON(filepath.Join(deploymentDir, "status.json"), &in.Status) },
	} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("faultreport: %w", err)
		}
	}
	return in, nil
}

func (in *Input) readServices(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		d, err := settings.Load(path)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(in.Services, func(s Service) bool { return s.Name == string(d.Service) })
		if i < 0 {
			i = len(in.Services)
			in.Services = append(in.Services, Service{Name: string(d.Service)})
		}
		in.Services[i].Instances = append(in.Services[i].Instances, string(d.Instance))
	}
	return nil
}

func (in *Input) instances() []string {
	var all []string
	for _, s := range in.Services {
		all = append(all, s.Instances...)
	}
	return all
}

func (in *Input) readEvents(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if in.Events, err = ReadEvents(f, in.Name); err != nil {
		return err
	}
	i := slices.IndexFunc(in.Events, func(e Event) bool { return e.Kind == KindLoad })
	if i < 0 {
		return fmt.Errorf("%s has no load event of deployment %s", path, in.Name)
	}
	in.Start = in.Events[i].Time
	return nil
}

func (in *Input) readRuns(dir string) error {
	var paths []string
	for _, name := range in.instances() {
		paths = append(paths, filepath.Join(dir, name+".runs"))
	}
	var err error
	in.Runs, err = bench.ReadRunFiles(paths)
	return err
}

func (in *Input) readGaps(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "gaps-*.csv"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		gaps, err := probe.ReadGaps(f)
		_ = f.Close()
		if err != nil {
			return err
		}
		in.Probes = append(in.Probes, gaps)
	}
	return nil
}

// readPublishes reads the files RACE-OPERATOR.json. An empty file is a publish that
// produced no result.
func (in *Input) readPublishes(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		race, operator, _ := strings.Cut(name, publishNameSeparator)
		p := Publish{Race: race, Operator: operator}
		if err := readJSON(path, &p); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		in.Publishes = append(in.Publishes, p)
	}
	return nil
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// readLogs reads the applied configurations from the daemons' logs.
func (in *Input) readLogs(dir string) error {
	for _, name := range in.instances() {
		f, err := os.Open(filepath.Join(dir, name+".out"))
		if err != nil {
			return err
		}
		err = in.readLog(name, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (in *Input) readLog(daemon string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line struct {
			Event  int    `json:"event"`
			Offset uint64 `json:"offset"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // not a log event, or a line truncated by a kill
		}
		switch line.Event {
		case eventDaemonStarted:
			in.Configured = append(in.Configured, ConfigChange{Daemon: daemon, DaemonStarted: true})
		case eventConfigInForce:
			in.Configured = append(in.Configured, ConfigChange{Daemon: daemon, Offset: line.Offset})
		}
	}
	return lines.Err()
}
