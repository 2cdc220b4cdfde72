package faultplan

// Kind is the kind of an action.
type Kind string

const (
	Kill         Kind = "kill"          // SIGKILL to the daemon and the target of an instance
	Start        Kind = "start"         // start the daemon and the target of an instance
	PauseDaemon  Kind = "pause-daemon"  // SIGSTOP to a daemon
	ResumeDaemon Kind = "resume-daemon" // SIGCONT to a daemon
	PauseTarget  Kind = "pause-target"  // SIGSTOP to a target
	ResumeTarget Kind = "resume-target" // SIGCONT to a target
	Drain        Kind = "drain"         // send the drain command for an instance
	Cut          Kind = "cut"           // cut links of a daemon, see Direction
	Heal         Kind = "heal"          // end all link cuts of a daemon
	Log          Kind = "log"           // set the faults of the log service
	Race         Kind = "race"          // two operators publish conflicting changes of a service concurrently
)

// beginsFault reports whether the action begins a fault.
func (k Kind) beginsFault() bool {
	switch k {
	case Start, ResumeDaemon, ResumeTarget, Heal:
		return false
	}
	return true
}
