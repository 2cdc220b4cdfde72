package config_test

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
	"github.com/parsleystack/parsleystack/service"
)

// Two operators publish on the same base; the first in log order wins.
func Example() {
	ctx := context.Background()
	log := logtest.New(logtest.Options{LongPoll: time.Millisecond})
	candidate := func(slots int) []config.Candidate {
		return []config.Candidate{{Spec: &service.Spec{Name: "reports", Slots: slots}}}
	}
	nonce := uint64(0)
	publisher := func(author string) *config.Publisher {
		return &config.Publisher{
			Log:            log,
			Author:         author,
			Nonce:          func() uint64 { nonce++; return nonce },
			OutcomeTimeout: time.Second,
			PollInterval:   time.Millisecond,
		}
	}
	anna, berta := publisher("anna"), publisher("berta")
	annasPlan, _ := anna.Plan(ctx, candidate(10), nil)
	bertasPlan, _ := berta.Plan(ctx, candidate(20), nil)
	first, _ := berta.Publish(ctx, bertasPlan)
	second, _ := anna.Publish(ctx, annasPlan)
	fmt.Println(first[0].Kind, second[0].Kind)

	state, _ := config.ReadState(ctx, log)
	fmt.Println(state.Entry("reports").Author)
	// Output:
	// accepted lost
	// berta
}
