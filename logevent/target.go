package logevent

// Events of the target beside the daemon.
var (
	TargetReady    = define(6001, "target ready", info, "The target takes requests.", "")
	TargetNotReady = define(6002, "target not ready", warning, "The target does not take requests; its ranges are moved.", "Look at the target's own log.")
)
