package logevent

// Events of the target beside the daemon.
var (
	TargetReady    = define(6001, "target ready", info, "The target accepts requests.", "")
	TargetNotReady = define(6002, "target not ready", warning, "The target does not accept requests; its ranges are moved.", "Check the target's own log.")
)
