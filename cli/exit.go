package cli

// Exit codes of the parsley command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed; the message has the cause and
	// the remedy.
	ExitFailure = 1
	// ExitUsage means that the arguments are wrong.
	ExitUsage = 2
	// ExitBadFiles means that service or settings files have faults.
	ExitBadFiles = 3
	// ExitConflict means that a published change was rejected because of a change
	// of another operator.
	ExitConflict = 4
	// ExitIndeterminate means that the outcome of a published change is not known;
	// it may still take effect.
	ExitIndeterminate = 5
	// ExitDegraded means that the deployment answers but has findings, or that the
	// result is incomplete.
	ExitDegraded = 6
)
