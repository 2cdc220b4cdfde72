package capacity_test

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/parsleystack/parsleystack/capacity"
	"github.com/parsleystack/parsleystack/measure"
)

const model = `
sizes:
  - {name: daemons, value: 8, unit: daemons, source: users, doubles: true}
budgets:
  - {resource: network, limit: 3000, unit: B/s, text: control traffic}
sections:
  - name: Leader
    text: Leads a cell.
    terms:
      - {resource: network, text: renewals, series: renewal, size: daemons, per_second: "2", mechanism: leases}
`

func Example() {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "model.yaml")
	if err := os.WriteFile(path, []byte(model), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	m, err := capacity.Load(path)
	if err != nil {
		fmt.Println(err)
		return
	}
	renewal := &measure.Series{Name: "renewal", Unit: "B"}
	for _, size := range []float64{1, 2, 4, 8} {
		renewal.Add(size, 100+50*size)
	}
	results, err := m.Evaluate(map[string]*measure.Series{"renewal": renewal}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	need := results[0].Needs[0]
	fmt.Printf("%.0f %s, within the budget: %v, margin %.1f\n", need.Value, need.Budget.Unit, need.Met(), need.Margin())
	// Output:
	// 1000 B/s, within the budget: true, margin 3.0
}
