package celltest

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault or of an operator's action.
type FaultKind uint8

const (
	// Kill ends the processes of From; they restart after Dur.
	Kill FaultKind = iota
	// Pause freezes the processes of From for Dur.
	Pause
	// PauseEffects freezes the processes of From for Dur between their next
	// step that has effects and the effects.
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
	// LogDown stops the log for Dur.
	LogDown
	// LogSlow adds up to Amount to each answer of the log for Dur.
	LogSlow
	// LogLostAnswers loses the answers of Percent of the appends for Dur.
	LogLostAnswers
	// LogLate answers Percent of the appends as unknown and lands them up to
	// Amount later.
	LogLate
	// Leave asks the processes of From for a planned stop; they restart after Dur.
	Leave
	// ConfirmLoss confirms the loss of all dead processes to all instances.
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
	return 0, fmt.Errorf("celltest: %q is no kind of fault; use one of %v", name, faultNames)
}

// Fault is one entry of a schedule. Fields that its kind does not use are zero.
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
