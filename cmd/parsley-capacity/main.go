// Command parsley-capacity computes the capacity page from measured series and
// the model of the target size.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/capacity"
	"github.com/parsleystack/parsleystack/measure"
)

type args struct {
	Model  string `arg:"--model" default:"docs/capacity/model.yaml" help:"model of the target size"`
	Series string `arg:"--series" default:"docs/capacity/series" help:"directory of the measured series"`
	Out    string `arg:"--out" default:"docs/CAPACITY.md" help:"page to write"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsley-capacity:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	model, err := capacity.Load(a.Model)
	if err != nil {
		return err
	}
	series, err := measure.ReadDir(a.Series)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := model.WritePage(&page, series); err != nil {
		return err
	}
	return os.WriteFile(a.Out, page.Bytes(), 0o644)
}
