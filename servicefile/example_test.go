package servicefile_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/servicefile"
)

func ExampleParse() {
	spec, err := servicefile.Parse("parsley.yaml", []byte(`
service: bookings
key: {path_segment: 0}
targets: {check_tokens: true, slots: 20, connections: 130}
requests:
  - {method: GET, idempotent: true, timeout: 2s}
  - {method: POST, idempotent: false, timeout: 5s}
`))
	fmt.Println(spec.Name, spec.Divided(), spec.MethodFor("POST", "/via-roma-1").Idempotent, err)
	// Output:
	// bookings true false <nil>
}
