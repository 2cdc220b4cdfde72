package logevent

// Events of the daemon as a whole.
var (
	DaemonStarted        = define(1001, "daemon started", info, "The process has read its settings and begins to join its cell.", "")
	DaemonReady          = define(1002, "daemon ready", info, "The daemon has the configuration in force and takes requests of callers.", "")
	DaemonStopped        = define(1003, "daemon stopped", info, "The process ends after a planned stop or a signal.", "")
	TLSDisabled          = define(1005, "TLS is off", warning, "tls.insecure is set: whoever reaches the daemon's addresses can give orders and read requests.", "Set tls.cert_file, tls.key_file and tls.ca_file, and remove tls.insecure.")
	CertificatesReloaded = define(1006, "certificates reloaded", info, "Changed certificate files were read and are used for new connections.", "")
	CertificatesRejected = define(1007, "certificates rejected", failure, "Changed certificate files can't be used; the earlier ones stay in use.", "Write a matching certificate and key before the earlier certificate expires.")
	DrainStarted         = define(1008, "drain started", info, "A planned stop has begun; the target receives no new work once its ranges are moved.", "")
	DrainFinished        = define(1009, "drain finished", info, "All ranges and roles are handed over and no request is in flight.", "")
	DrainLimitExceeded   = define(1010, "drain limit exceeded", warning, "Work was still in flight when lease.drain_limit ended.", "Look for requests with long timeouts, or raise lease.drain_limit.")
	CommandExecuted      = define(1021, "order carried out", info, "An operator's order was accepted.", "")
	CommandNotRecorded   = define(1022, "order not recorded", warning, "An operator's order was carried out but is missing from the audit trail.", "Keep this line; it holds what the trail would show.")
	OrderRefused         = define(1012, "order refused", warning, "An operator's or a daemon's order was not carried out.", "Check who sent it and whether its certificate is one that tls.ca_file signs.")
	ControlFault         = define(1013, "control fault", warning, "The goroutine of the cell met a condition that an operator should know of.", "Follow the remedy that the error names.")
)
