package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/standin/target"
)

// ReadRunFiles returns the runs in the files that targets wrote with --runs.
func ReadRunFiles(paths []string) ([]target.Run, error) {
	var all []target.Run
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("bench: run file of a target: %w", err)
		}
		runs, err := parseRunFile(text)
		if err != nil {
			return nil, fmt.Errorf("bench: run file of a target: %s: %w", path, err)
		}
		all = append(all, runs...)
	}
	return all, nil
}

// parseRunFile combines the start and the end record of each run. A start record
// with a sequence number that was used before belongs to a later process.
func parseRunFile(text []byte) ([]target.Run, error) {
	var runs []target.Run
	index := map[int]int{} // index in runs by sequence number within the process
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		if len(line) == 0 {
			continue
		}
		var r target.Run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		if at, started := index[r.Seq]; started && r.End != 0 {
			runs[at] = r
			continue
		}
		index[r.Seq] = len(runs)
		runs = append(runs, r)
	}
	return runs, nil
}
