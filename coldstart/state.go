package coldstart

import "github.com/parsleystack/parsleystack/clock"

// State is whether a target is in cold start.
type State struct {
	Cold bool
	// Unknown is set if it is not known whether the target is cold. It counts as cold then.
	Unknown bool
	Since   clock.Time // since when it counts as cold
	Until   clock.Time // when it will be warm; valid if it is cold and that is known
	// Evidence is why it counts as cold, or what last said otherwise.
	Evidence Evidence
}
