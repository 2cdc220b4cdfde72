package sidecar

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleystack/parsleystack/logevent"
)

// While a daemon starts, it applies records that other daemons have announced before its
// long poll begins. Its connections to the store were taken for silent and replaced.
func TestStartIsNotASilentPoll(t *testing.T) {
	t.Parallel()
	core, lines := observer.New(zap.InfoLevel)
	d := deployWith(t, func(n *testNode) { n.log = zap.New(core) }, keyedService, keyedService, plainService, plainService)
	d.awaitServing()
	for _, n := range d.nodes {
		n.stop()
		<-n.done
		n.start(t)
		d.awaitServing()
	}
	if missed := lines.FilterMessage(logevent.PollMissedRecords.Name); missed.Len() > 0 {
		t.Errorf("%d polls count as silent with a healthy store, first %v", missed.Len(), missed.All()[0].ContextMap())
	}
}
