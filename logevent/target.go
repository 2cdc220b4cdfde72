package logevent

// Events of the target beside the daemon.
var (
	TargetReady         = define(6001, "target ready", info, "The target takes requests.", "")
	TargetNotReady      = define(6002, "target not ready", warning, "The target does not take requests; its ranges are moved.", "Look at the target's own log.")
	TargetRefusedToken  = define(6003, "target refused a token", warning, "The target has seen a newer fencing token than that of the request.", "Expected once after a move; if it lasts, compare parsley explain on two daemons.")
	TargetAnswerInvalid = define(6004, "target answer invalid", warning, "The target's answer was malformed or too large.", "Check the target's version and limits.answer_bytes.")
	TargetUnreachable   = define(6005, "target unreachable", warning, "No connection to the target can be opened.", "Check that the target runs and that target.address is right.")
)
