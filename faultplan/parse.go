package faultplan

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

const actionFields = 6

// Parse reads a plan, one action per line in the format of Action.String. Empty
// lines are skipped.
func Parse(r io.Reader) ([]Action, error) {
	var plan []Action
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		a, err := parseAction(lines.Text())
		if err != nil {
			return nil, err
		}
		plan = append(plan, a)
	}
	return plan, lines.Err()
}

func parseAction(line string) (Action, error) {
	f := strings.SplitN(line, " ", actionFields)
	if len(f) != actionFields {
		return Action{}, fmt.Errorf("faultplan: %q has %d fields; write milliseconds, deployment, losses, kind, subject and detail", line, len(f))
	}
	at, err := time.ParseDuration(f[0] + "ms")
	if err != nil {
		return Action{}, fmt.Errorf("faultplan: %q does not begin with a number of milliseconds: %w", line, err)
	}
	return Action{At: at, Deployment: f[1], Losses: Losses(f[2]), Kind: Kind(f[3]), Subject: f[4], Detail: f[5]}, nil
}
