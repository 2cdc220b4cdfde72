package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Mix is a set of operations that are drawn at random by weight.
type Mix []Op

// PeriziaCasa returns the mix of house reports, bookings and deposits.
func PeriziaCasa() Mix {
	return Mix{
		{Name: "report", Method: "GET", Path: "/reports/{key}", Weight: 0.80, Idempotent: true, Timeout: 2 * time.Second},
		{Name: "booking", Method: "POST", Path: "/bookings/{key}", Weight: 0.12, Timeout: 5 * time.Second},
		{Name: "payment", Method: "POST", Path: "/payments/{key}", Weight: 0.08, Timeout: 10 * time.Second},
	}
}

// Raumtafel returns the mix of door panel status, room bookings and releases.
func Raumtafel() Mix {
	return Mix{
		{Name: "status", Method: "GET", Path: "/door-panel-status/{key}", Weight: 0.80, Idempotent: true, Timeout: time.Second},
		{Name: "agenda", Method: "GET", Path: "/release-and-agenda/{key}/agenda", Weight: 0.08, Idempotent: true, Timeout: time.Second},
		{Name: "booking", Method: "POST", Path: "/room-booking/{key}", Weight: 0.08, Timeout: 3 * time.Second},
		{Name: "release", Method: "POST", Path: "/release-and-agenda/{key}/release", Weight: 0.04, Timeout: 3 * time.Second},
	}
}

// MixNamed returns the built-in mix with the given name.
func MixNamed(name string) (Mix, error) {
	switch name {
	case "perizia":
		return PeriziaCasa(), nil
	case "raumtafel":
		return Raumtafel(), nil
	}
	return nil, fmt.Errorf("bench: mix %q is unknown; use perizia or raumtafel, or give operations with --op", name)
}

// draw returns the index of an operation drawn at random by weight.
func (m Mix) draw(random *rand.Rand) int {
	total := 0.0
	for i := range m {
		total += m[i].Weight
	}
	x := random.Float64() * total
	for i := range m {
		x -= m[i].Weight
		if x < 0 {
			return i
		}
	}
	return len(m) - 1
}
