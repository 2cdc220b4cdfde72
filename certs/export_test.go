package certs

import "time"

// CheckInterval is the least time between two looks at the files.
const CheckInterval = checkInterval

// SetNow replaces the clock.
func (s *Source) SetNow(now func() time.Time) { s.now = now }
