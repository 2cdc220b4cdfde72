package coldstart

// Evidence is why a target counts as cold, or why that is not known.
type Evidence string

const (
	// DaemonStarted means that the daemon has started and has no statement of the target yet.
	DaemonStarted Evidence = "daemon-started"
	// TargetReplaced means that a new incarnation of the target has reported.
	TargetReplaced Evidence = "target-replaced"
	// ConnectionRefused means that the target refused a connection.
	ConnectionRefused Evidence = "connection-refused"
	// ConnectionReset means that the target closed a connection on which a request was sent.
	ConnectionReset Evidence = "connection-reset"
	// ConnectionClosed means that the target closed an idle connection. Targets do so after
	// some time, and when they end.
	ConnectionClosed Evidence = "connection-closed"
	// EvacuationEnded means that the target was not used during an evacuation of its zone.
	EvacuationEnded Evidence = "evacuation-ended"
	// Heartbeat means that the target has stated it in a heartbeat.
	Heartbeat Evidence = "heartbeat"
	// HealthCheck means that the target has stated it in the response to a health check.
	HealthCheck Evidence = "health-check"
)
