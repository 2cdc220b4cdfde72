package settings_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/settings"
)

func ExampleParse() {
	_, err := settings.Parse("reports-1.yaml", []byte("instance: reports-1\nlease: {duration: 2}\n"))
	fmt.Println(err)
	// Output:
	// reports-1.yaml:2: lease.duration: "2" is not a duration with its unit; write a duration with its unit, such as 250ms, 2s or 24h
}
