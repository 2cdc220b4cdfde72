package certs

import "time"

// CheckInterval is the minimum time between two checks of the files for changes.
const CheckInterval = checkInterval

// SetNow replaces the clock.
func (s *Source) SetNow(now func() time.Time) { s.now = now }
