package logevent

// Events of the configuration.
var (
	ConfigInForce        = define(4001, "configuration in force", info, "A newer configuration is in force in this daemon.", "")
	ChangeRejected       = define(4002, "change without effect", info, "A published change was based on an old version and has no effect.", "")
	ServiceBlocked       = define(4003, "service blocked by a newer schema", failure, "A change of a service has a schema that this daemon does not know; it keeps the service's last known configuration and takes no further change of it.", "Upgrade the daemon.")
	ConfigTruncated      = define(4004, "configuration stream has a gap", failure, "Records of the configuration expired before this daemon read them, and no snapshot covers them.", "Start the daemon while another one runs, or publish all service files again.")
	ConfigSnapshot       = define(4005, "configuration snapshot appended", info, "The configuration was written again so that it outlasts the log's retention.", "")
	ConfigPulled         = define(4006, "configuration pulled from a peer", info, "The configuration was read from another daemon, since the log does not answer.", "")
	ConfigBehind         = define(4007, "configuration behind", warning, "Another daemon has a newer configuration than this one can read.", "Check that the daemon reaches the log service or the daemons of its cell.")
	ConfigSnapshotFailed = define(4009, "configuration snapshot not appended", warning, "The log did not take a snapshot of the configuration; it is tried again.", "If it lasts, check the log service and its limit on the size of a record.")
	ConfigUndecodable    = define(4008, "configuration record not understood", failure, "A record of the configuration stream can't be decoded and has no effect.", "Find who writes to the stream besides parsley publish and the daemons.")
)
