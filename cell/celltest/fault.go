package celltest

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault or of an operator's action.
type FaultKind uint8

const (
	// Kill stops the processes of From without notice; they restart after Dur.
	Kill FaultKind = iota
	// Pause freezes the processes of From for Dur.
	Pause
	// PauseEffects freezes the processes of From for Dur after their next step
	// that has effects and before the effects are applied.
	PauseEffects
	// Cut drops messages from From to To for Dur.
	Cut
	// CutBoth drops messages between From and To for Dur.
	CutBoth
	// Loss drops Percent of all messages for Dur.
	Loss
	// Delay adds up to Amount to each message for Dur, which reorders them.
	Delay
	// Duplicate delivers Percent of the messages twice for Dur.
	Duplicate
	// LogDown makes the log unavailable for Dur.
	LogDown
	// LogSlow delays each request to the log and each response by up to Amount
	// for Dur.
	LogSlow
	// LogLostAnswers loses the responses to Percent of the appends for Dur.
	LogLostAnswers
	// LogLate reports an unknown outcome for Percent of the appends for Dur;
	// they take effect up to Amount later.
	LogLate
	// Leave asks the processes of From for a planned stop; they restart after Dur.
	Leave
	// ConfirmLoss confirms the loss of all exited processes to all instances.
	ConfirmLoss
	// Unready reports the targets of From as not ready for Dur.
	Unready

	faultKinds
)

var faultNames = [faultKinds]string{"kill", "pause", "pause-effects", "cut", "cut-both", "loss", "delay", "duplicate", "log-down", "log-slow", "log-lost-answers", "log-late", "leave", "confirm-loss", "unready"}

// String returns the name of k in traces.
func (k FaultKind) String() string {
	if k < faultKinds {
		return faultNames[k]
	}
	return "invalid"
}

func parseFaultKind(name string) (FaultKind, error) {
	for k, n := range faultNames {
		if n == name {
			return FaultKind(k), nil
		}
	}
	return 0, fmt.Errorf("celltest: unknown kind of fault %q; use one of %v", name, faultNames)
}

// Fault is one entry of a schedule. Its kind determines which of the fields
// have a meaning.
type Fault struct {
	At      time.Duration // true time since the start of the world
	Dur     time.Duration
	Kind    FaultKind
	From    NodeSet
	To      NodeSet
	Amount  time.Duration
	Percent int
}

// End returns the time at which the fault is over.
func (f Fault) End() time.Duration {
	end := f.At + f.Dur
	if f.Kind == LogLate || f.Kind == LogSlow || f.Kind == Delay {
		end += f.Amount
	}
	return end
}

// String formats f as one line of a trace.
func (f Fault) String() string {
	return fmt.Sprintf("at=%v dur=%v kind=%v from=%v to=%v amount=%v percent=%d", f.At, f.Dur, f.Kind, f.From, f.To, f.Amount, f.Percent)
}
