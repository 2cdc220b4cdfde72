package entry_test

import (
	"sync/atomic"
	"testing"

	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
)

// A daemon that knew its configuration to be outdated answered 404 for a service that the
// newer one may have, which tells the caller not to send the request again.
func TestUnknownServiceOfAnOutdatedConfiguration(t *testing.T) {
	router := route.NewRouter()
	router.SetSpecs(1, []service.Spec{bookings()})
	var outdated atomic.Bool
	d := startEntryDaemon(t, entry.Config{Router: router, Outdated: outdated.Load})
	d.send(t, "GET", "/later/k", nil).want(t, 404, "not-run", "unknown-service")
	outdated.Store(true)
	d.send(t, "GET", "/later/k", nil).want(t, 503, "not-run", "not-ready")
}
