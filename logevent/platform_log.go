package logevent

// Events of the platform's log service.
var (
	LogUnavailable = define(5001, "log service unavailable", warning, "The log service does not answer; ownership goes on without it.", "Restore the service; see docs/operators/log-outage.md for what waits meanwhile.")
	LogRecovered   = define(5002, "log service recovered", info, "The log service answers again.", "")
	AppendUnknown  = define(5003, "append outcome unknown", info, "The answer to an append was lost; the stream is read on to settle it.", "")
	AppendSettled  = define(5004, "append settled", info, "Reading the stream has shown whether an append took effect.", "")
)
