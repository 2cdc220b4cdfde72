package ratelimit

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// response is a response to a request that was sent and answered at times in milliseconds.
type response struct {
	sent, received int
	limited        bool
	rate           float64
}

func TestOvertakingResponsesDoNotEndALimit(t *testing.T) {
	tests := []struct {
		name        string
		responses   []response
		wantLimited bool
		wantRate    float64
	}{
		{"first", []response{{0, 10, true, 20}}, true, 20},
		{"withdrawn", []response{{0, 10, true, 20}, {10, 20, false, 0}}, false, 0},
		{"response from before the limit arrives late", []response{{0, 10, true, 20}, {5, 20, false, 0}}, true, 20},
		{"lowered by an older response", []response{{0, 10, true, 20}, {5, 20, true, 8}}, true, 8},
		{"not raised by an older response", []response{{0, 10, true, 20}, {5, 20, true, 30}}, true, 20},
		{"raised", []response{{0, 10, true, 20}, {11, 20, true, 30}}, true, 30},
		{"confirmed, then a response from before", []response{{0, 10, true, 20}, {11, 30, true, 20}, {20, 40, false, 0}}, true, 20},
		{"raised after an older response lowered it", []response{{0, 10, true, 30}, {5, 20, true, 20}, {21, 30, true, 30}}, true, 30},
		{"stated again after its withdrawal", []response{{0, 10, true, 20}, {10, 20, false, 0}, {12, 30, true, 0}}, true, 0},
	}
	at := func(ms int) clock.Time { return clock.Time(time.Second).Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range tests {
		var s Stated
		for _, r := range tt.responses {
			before := s
			changed := s.Observe(r.limited, r.rate, at(r.sent), at(r.received))
			if changed != (s.Limited != before.Limited || s.Rate != before.Rate) {
				t.Errorf("%s: Observe(%+v) = %v for %+v to %+v", tt.name, r, changed, before, s)
			}
		}
		if s.Limited != tt.wantLimited || s.Rate != tt.wantRate {
			t.Errorf("%s: limited %v, rate %v, want %v, %v", tt.name, s.Limited, s.Rate, tt.wantLimited, tt.wantRate)
		}
	}
}
