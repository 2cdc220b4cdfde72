package logevent

// Events of the request path.
var (
	PeerConnected   = define(3001, "peer connected", debug, "A connection to another daemon is open.", "")
	PeerLost        = define(3002, "peer lost", info, "A connection to another daemon broke; requests in flight on it have an unknown outcome.", "")
	FrameRejected   = define(3003, "frame rejected", warning, "A connection sent a frame that is too large, torn or of an unknown version, and was closed.", "Check the versions of the daemons at both ends and what else connects to listen.daemons.")
	OverloadStarted = define(3004, "overload started", warning, "Requests are refused because the queue in front of the target is full.", "Add targets, or see the service's imbalance and its hot keys.")
	OverloadEnded   = define(3005, "overload ended", info, "Requests are no longer refused for a full queue.", "")
	LateAnswer      = define(3006, "late answer dropped", debug, "An answer arrived after its request had ended and was dropped.", "")
)
