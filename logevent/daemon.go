package logevent

// Events of the daemon as a whole.
var (
	DaemonStarted        = define(1001, "daemon started", info, "The process has read its settings and is joining its cell.", "")
	DaemonReady          = define(1002, "daemon ready", info, "The daemon has applied the configuration and accepts requests of callers.", "")
	DaemonStopped        = define(1003, "daemon stopped", info, "The process exits after a planned stop or a signal.", "")
	TLSDisabled          = define(1005, "TLS is off", warning, "tls.insecure is set: anyone who can reach the daemon's addresses can issue operator commands and read requests.", "Set tls.cert_file, tls.key_file and tls.ca_file, and remove tls.insecure.")
	CertificatesReloaded = define(1006, "certificates reloaded", info, "Changed certificate files were read and are used for new connections.", "")
	CertificatesRejected = define(1007, "certificates rejected", failure, "Changed certificate files can't be used; the earlier ones stay in use.", "Write a matching certificate and key before the earlier certificate expires.")
	DrainStarted         = define(1008, "drain started", info, "A planned stop has started; the target receives no new requests once its ranges are moved.", "")
	DrainFinished        = define(1009, "drain finished", info, "All ranges and roles are handed over, and no request is in flight.", "")
	DrainLimitExceeded   = define(1010, "drain limit exceeded", warning, "Requests were still in flight when lease.drain_limit expired.", "Look for requests with long timeouts, or raise lease.drain_limit.")
	CommandExecuted      = define(1021, "operator command executed", info, "An operator command was accepted.", "")
	CommandNotRecorded   = define(1022, "operator command not recorded", warning, "An operator command was executed but is missing from the audit trail.", "Keep this line; it has what the audit trail would show.")
	CommandRefused       = define(1012, "operator command refused", warning, "An operator command was not executed.", "Check who sent it and whether the certificate is signed by an authority in tls.ca_file.")
	CellFault            = define(1013, "cell fault", warning, "The cell's control loop reported an error that an operator should check.", "Follow the remedy in the error.")
)
