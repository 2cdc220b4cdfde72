package cli

// Exit codes of the parsley command.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that the command could not do what was asked; the
	// message names the cause and the remedy.
	ExitFailure = 1
	// ExitUsage means that the arguments are wrong.
	ExitUsage = 2
	// ExitBadFiles means that service or settings files hold faults.
	ExitBadFiles = 3
	// ExitLost means that a published change lost to another operator's.
	ExitLost = 4
	// ExitUnsettled means that a published change may yet take effect.
	ExitUnsettled = 5
	// ExitDegraded means that the deployment answers but is not whole.
	ExitDegraded = 6
)
