package logevent

// Events of the platform's log service.
var (
	LogUnavailable = define(5001, "log service unavailable", warning, "The log service does not answer; ownership continues without it.", "Restore the service; see docs/operators/log-outage.md for what is suspended meanwhile.")
	LogRecovered   = define(5002, "log service recovered", info, "The log service answers again.", "")
)
