package logevent

import "go.uber.org/zap/zapcore"

const routine = zapcore.DebugLevel

// Events of the daemon on the users' platform.
var (
	SidecarStarted   = define(7001, "sidecar started", info, "The process has read the platform's settings.", "")
	SidecarReady     = define(7002, "sidecar ready", info, "The daemon has a configuration and a directory and accepts requests of callers.", "")
	SidecarStopping  = define(7003, "sidecar stopping", info, "SIGTERM was received; the daemon is no longer ready and completes the requests that it has read.", "")
	SidecarStopped   = define(7004, "sidecar stopped", info, "All requests are answered and the process exits.", "")
	StopIncomplete   = define(7008, "stop incomplete", warning, "The grace period expired before all callers' connections were closed.", "Look for requests with long timeouts.")
	SettingsReloaded = define(7005, "settings reloaded", info, "The settings file has changed; the fields that can change in a running process are applied.", "")
	SettingsRejected = define(7006, "settings rejected", failure, "The changed settings file is invalid; the earlier settings stay in use.", "Correct the field named in the error.")
	AcceptFailed     = define(7009, "accept failed", warning, "A connection could not be accepted, for lack of descriptors for example. Open connections are served, and accepting is tried again.", "Raise the limit of descriptors, or find out which clients keep many connections open.")
	LinesDropped     = define(7007, "log lines dropped", warning, "Standard output was slower than the log; routine lines were dropped first.", "Make the collector read faster; the count says how many lines are missing.")

	StoreUnavailable      = define(7101, "store unavailable", warning, "A direct call to the store failed or was rejected; calls are relayed by other daemons that can reach it.", "Check the store and the network path to it; other daemons extend the leases for a limited time.")
	StoreAvailable        = define(7102, "store available again", info, "A direct call to the store succeeded again.", "")
	StoreHistoryTruncated = define(7103, "store history truncated", info, "The store has removed the next records to read; the newest record of each key is read instead.", "")
	RecordIgnored         = define(7104, "record ignored", warning, "A record in the store can't be decoded and is ignored.", "Find out which program writes to the topic.")
	StoreCallFailed       = define(7105, "store call failed", warning, "A read or an append failed and is retried; logged once for each series of failures.", "Look for event 7101 (store unavailable) before this line; if there is none, the error has the store's answer.")
	PollMissedRecords     = define(7120, "long poll missed records", info, "Another read found records that the long poll did not return; its connection is replaced.", "")
	UpdateNotForwarded    = define(7107, "directory update not forwarded", routine, "A directory update could not be forwarded to another daemon; that daemon reads the store itself.", "")
	RelayFailed           = define(7106, "relayed store call failed", routine, "No other daemon could relay a store call for this one.", "")

	EraChanged = define(7110, "store went back", warning, "An answer of the store states a later era: the store has come back from an older copy and has lost its newest records. All topics are read anew.", "Check why the store was replaced. Compare what was written just before; the daemons and the operator write their own records again.")
	EraEntered = define(7111, "directory read in a later era", info, "The newest records of the directory were read in a later era of the store; this daemon writes its own record again if it is missing.", "")

	RoutesInForce            = define(7201, "routes in force", info, "Requests are routed by this configuration version from now on.", "")
	ConfigurationUnconfirmed = define(7203, "configuration not confirmed", info, "The store did not answer the check whether the configuration in force is the newest; it is repeated.", "")
	ConfigRejected           = define(7202, "configuration rejected", failure, "The operator's configuration is invalid; the version in force stays, and requests without a route in it get 503.", "Write a valid configuration.")
	ConfigRowsRejected       = define(7204, "configuration rows rejected", failure, "Routes or services of the version in force can't be decoded; their requests get 503, all other rows are in force.", "Write a version with these rows corrected; the line has the first error.")
	RouteKindsUnknown        = define(7205, "route kinds unknown", warning, "Routes of the version in force have a kind that this daemon does not know; their requests are served and not repeated.", "Update the daemons, or write a version with kinds that they know; the line has the first route.")

	PeerJoined          = define(7301, "daemon joined", info, "The directory has a new daemon, or a change of a daemon's target.", "")
	PeerSuspected       = define(7302, "daemon suspected", warning, "No status of a daemon has arrived within the timeout; it is suspected to have failed.", "Check whether its instance runs and is reachable; its keys are moved if no status arrives.")
	PeerResponded       = define(7303, "daemon responds again", info, "A status of a suspected daemon has arrived.", "")
	PeerRemoved         = define(7304, "daemon removed", info, "A daemon without recent status that owns nothing was removed from the directory.", "")
	MemberRecorded      = define(7305, "own record stored", info, "The record of this daemon and its target is in the store.", "")
	RemovalFailed       = define(7310, "removal failed", warning, "A daemon could not be removed from the directory; the removal is retried at the next check.", "Look for event 7101 (store unavailable) before this line.")
	UpdateNotFetched    = define(7311, "update not fetched", info, "A newer configuration or directory of another daemon or the store could not be read; the read is retried.", "")
	TargetChanged       = define(7306, "target changed", info, "The state of the target changed after a heartbeat, a refused connection or a planned stop.", "")
	LinksRenewed        = define(7312, "links renewed", info, "Statuses pass in one direction only or not at all; new connections to the daemon are opened.", "")
	HeartbeatIgnored    = define(7307, "heartbeat ignored", warning, "A heartbeat can't be decoded or names another target; it is ignored.", "Check who sends heartbeats to this daemon.")
	HeartbeatOutOfOrder = define(7308, "heartbeat out of order", info, "A heartbeat is older than one already processed; it renews no grant.", "")
	HeartbeatsContinued = define(7321, "heartbeats continued", warning, "Heartbeats that are numbered below an earlier one have gone on for so long that they are the target's own; they count again.", "Check which program sends heartbeats to this daemon: the earlier one was not the target's.")
	TargetNotReplaced   = define(7327, "target not replaced", warning, "A heartbeat names another target than the current one, which still sends heartbeats or may hold keys; it is not accepted.", "If it goes on for more than some seconds, check which two programs send heartbeats to this daemon.")
	TargetStartedAgain  = define(7326, "target started again", warning, "A target that states an earlier start than the current one sends heartbeats, and the current one none: it has taken its place.", "Check the clock of the instance: it was set back between the two starts.")
	GrantsNotRenewed    = define(7309, "grants not renewed", warning, "A heartbeat was answered without grants, since the lease of the daemon is not confirmed.", "Look for events 7101 (store unavailable) and 7302 (daemon suspected) before this line.")

	TargetLimitChanged    = define(7313, "target limit changed", info, "A response of the target states a limit of requests a second, another one than before, or none any more.", "")
	DepartureAcknowledged = define(7320, "departure acknowledged", info, "A heartbeat that announces the departure of the target is acknowledged, since the store or other daemons keep it now.", "")
	TargetStatesLeaving   = define(7314, "target states its departure", info, "A response of the target states that it leaves; it gets no new requests, and its keys move.", "")
	StatementIgnored      = define(7315, "statement ignored", warning, "A response of the target has a limit or a departure that can't be read; what it stated before stays in force.", "Correct the target; the error has the value.")

	TargetCold        = define(7322, "target cold", info, "The target is in cold start, or may be: since evidence it is not known. It gets no more requests a second than the configuration allows, until it is warm.", "")
	TargetWarm        = define(7323, "target warm", info, "The target is no longer in cold start by what evidence names; held is the number of requests that have waited for it, refused that of those refused because of it.", "")
	ZonesEvacuated    = define(7325, "evacuated zones changed", warning, "The operator's records evacuate other zones than before: the targets of zones get no new requests, and their keys move to other zones.", "If this is not intended, remove the record op/evacuate/ZONE; parsley status shows the zones.")
	HealthCheckFailed = define(7324, "health check failed", info, "The response to a health check of the target does not say whether it is in cold start; the next heartbeat or health check does.", "")

	TargetCrashed = define(7316, "target crashed", warning, "The target has ended without announcing it while requests were in progress; requests has the id and the content fingerprint of each that may have been the cause.", "Compare the fingerprints of several of these lines: one that is in all of them crashes its targets.")

	RequestQuarantined = define(7317, "request quarantined", warning, "Requests of the content with this fingerprint have crashed several targets of the service, one of them alone; no daemon sends them to a target any more.", "Find the requests by the fingerprint in events 7316 (target crashed), and mend the service; then parsley release lets them through.")
	RequestAcquitted   = define(7318, "request acquitted", info, "The target has served a request that was in progress when targets crashed; it is not suspected any more.", "")
	RequestReleased    = define(7319, "request released", info, "An operator has ended the quarantine of a request.", "")

	TableProposed       = define(7401, "assignment table proposed", info, "This daemon appends a new assignment table.", "")
	TableProposalFailed = define(7402, "assignment table proposal failed", info, "The append of the proposed table was rejected or its outcome is indeterminate; a new table is planned from the records in the store.", "")
	TableInForce        = define(7403, "assignment table in force", info, "A new assignment table was read and applied.", "")
	ShardsReleased      = define(7404, "shards released", info, "The target has released shards.", "")
	HoldingsReported    = define(7405, "holdings reported", info, "The store went back. This daemon appends what its target may hold, until it reads the report back; keys move only once it is certain who holds them.", "")
	FirstTableOfEra     = define(7406, "first table of an era", info, "The first assignment table after the store went back is in force.", "")

	RequestRefused  = define(7501, "request refused", info, "A request was answered with the outcome not run.", "")
	RequestFailed   = define(7502, "request failed", info, "A request was answered with an unknown outcome.", "")
	RequestLate     = define(7503, "request late", info, "A request was answered later than its response time objective.", "")
	RequestDone     = define(7504, "request done", routine, "A request was answered within its response time objective.", "")
	RequestResent   = define(7505, "request resent", info, "A request is sent to another target after the first one did not answer.", "")
	AttemptRefused  = define(7506, "attempt refused", routine, "A daemon or its target refused a request without running it.", "")
	RequestRejected = define(7508, "request rejected", info, "A request was answered with a 4xx status of the daemon's own, which callers never retry.", "If the request was well formed, compare config (in force here) with newest_config, and look for events 7201 and 7202.")
	CopySent        = define(7511, "second copy sent", info, "A request has waited for much longer than others of its route; it is sent to another target as well.", "")
	CopyAnswered    = define(7512, "second copy answered first", info, "The second copy of a request was answered first; the first copy is canceled.", "")
	CopyCanceled    = define(7513, "second copy canceled", routine, "The first copy of a request was answered, or the request has ended; the second copy is canceled.", "")
	CopyRefused     = define(7514, "second copy refused", routine, "A request that has waited for long gets no second copy; the reason is in the line. The metric parsley_hedges_total counts by result.", "")
	TargetFailed    = define(7507, "target failed", info, "A target returned no complete response.", "The error has the cause; one of a response without a length that ended before the request was taken is explained in OPERATIONS.md.")

	StatusUnusable = define(7509, "unusable status", warning, "A response of the target has a status that is not a number from 100 to 599 of three digits; the outcome of the request is unknown, and the connection is closed.", "Correct the target; the error has the status.")

	ResponseMalformed = define(7510, "malformed response", warning, "A line in the head or the trailer of a response of the target is malformed, for example a field name with a space in it, or a line that ends with LF alone; the outcome of the request is unknown, and the connection is closed.", "Correct the target; the error has the number of the line, what precedes its colon, and what is wrong with it.")

	MessageTooLarge        = define(7601, "message too large", warning, "A message from the named source exceeded its size limit or the memory for messages; its connection was closed.", "Check why the source sends so much; the metric parsley_messages_too_large_total counts by source.")
	MessageMemoryExhausted = define(7602, "message memory exhausted", warning, "Messages of the named source were refused or evicted in the last second, since all messages together take the memory for them: held and limit are bytes.", "See which source holds the memory by the metric parsley_receive_memory_bytes; find callers that send large bodies and do not end them, or raise limits.memoryMb.")
	CallerConnsExhausted   = define(7603, "caller connections exhausted", warning, "Connections of callers were refused in the last second, or closed for new ones, since nearly as many are open as may be: closed_ and what they did.", "The caller with the most connections is in the line. Find out why it opens so many and leaves them idle or within a request; or raise limits.maxFds and limits.memoryMb.")
)
