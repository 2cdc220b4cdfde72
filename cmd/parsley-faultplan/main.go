// Command parsley-faultplan prints a plan of failures, one timed action per line,
// for the instances whose settings files are in the given directories.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/faultplan"
	"github.com/parsleystack/parsleystack/settings"
)

type args struct {
	Seed            uint64        `arg:"--seed" default:"1"`
	Duration        time.Duration `arg:"--duration" default:"3m" help:"length of the load"`
	DoubleLossShare float64       `arg:"--two-share" default:"0.12" help:"share of faults that affect two instances of a cell"`
	Links           bool          `arg:"--links" help:"cut links between daemons"`
	Dirs            []string      `arg:"positional,required" placeholder:"NAME=DIR" help:"deployment and the directory with its settings files"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsley-faultplan:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	cfg := faultplan.Defaults()
	cfg.Seed, cfg.Duration = a.Seed, a.Duration
	cfg.DoubleLossShare, cfg.CutLinks = a.DoubleLossShare, a.Links
	for _, s := range a.Dirs {
		d, err := deployment(s)
		if err != nil {
			return err
		}
		cfg.Deployments = append(cfg.Deployments, d)
	}
	for _, action := range faultplan.Generate(cfg) {
		fmt.Println(action)
	}
	return nil
}

// deployment reads the cells of one deployment from its settings files.
func deployment(arg string) (faultplan.Deployment, error) {
	name, dir, found := strings.Cut(arg, "=")
	if !found {
		return faultplan.Deployment{}, fmt.Errorf("%q is not of the form NAME=DIR", arg)
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return faultplan.Deployment{}, err
	}
	d := faultplan.Deployment{Name: name}
	for _, path := range paths {
		s, err := settings.Load(path)
		if err != nil {
			return faultplan.Deployment{}, err
		}
		addInstance(&d, string(s.Service), string(s.Instance))
	}
	if len(d.Cells) == 0 {
		return d, fmt.Errorf("%s contains no settings file", dir)
	}
	return d, nil
}

func addInstance(d *faultplan.Deployment, service, instance string) {
	i := slices.IndexFunc(d.Cells, func(c faultplan.Cell) bool { return c.Service == service })
	if i < 0 {
		i = len(d.Cells)
		d.Cells = append(d.Cells, faultplan.Cell{Service: service})
	}
	d.Cells[i].Instances = append(d.Cells[i].Instances, instance)
}
