package audit_test

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/audit"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

func ExampleRead() {
	ctx := context.Background()
	log := logtest.New(logtest.Options{LongPoll: time.Millisecond})
	retired, _ := config.NewRetire("reports", 0, "anna", 1).Encode()
	_, _ = log.Append(ctx, config.Stream, retired)

	trail, err := audit.Read(ctx, log, []ident.Region{"lombardy"}, &audit.Filter{Service: "reports"})
	for _, e := range trail.Entries {
		fmt.Println(e.Kind, e.Service, e.Author, e.Reason)
	}
	fmt.Println(err)
	// Output:
	// config-accepted reports anna retire based on version 0
	// <nil>
}
