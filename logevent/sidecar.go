package logevent

import "go.uber.org/zap/zapcore"

const routine = zapcore.DebugLevel

// Events of the daemon on the users' platform.
var (
	SidecarStarted   = define(7001, "sidecar started", info, "The process has read the platform's settings.", "")
	SidecarReady     = define(7002, "sidecar ready", info, "The daemon has a configuration and a directory and takes callers.", "")
	SidecarStopping  = define(7003, "sidecar stopping", info, "SIGTERM came; the daemon is not ready any more and ends what it has read.", "")
	SidecarStopped   = define(7004, "sidecar stopped", info, "All requests are answered and the process ends.", "")
	StopIncomplete   = define(7008, "stop incomplete", warning, "The grace time ended before all connections of callers did.", "Look for requests with long timeouts.")
	SettingsReloaded = define(7005, "settings read again", info, "The settings file has changed; the fields that can change in a running process are in force.", "")
	SettingsRejected = define(7006, "settings rejected", failure, "The changed settings file can't be used; the earlier settings stay.", "Correct the field that the error names.")
	LinesDropped     = define(7007, "log lines dropped", warning, "Standard output did not take lines as fast as they came; routine ones were dropped first.", "Let the collector read faster; the count tells how much is missing.")

	StoreUnavailable      = define(7101, "store lost", warning, "A direct call to the store failed or was refused; calls go by other daemons where one reaches it.", "Look at the store and at the path to it; leases are kept by the other daemons for a while.")
	StoreAvailable        = define(7102, "store regained", info, "A direct call to the store succeeded again.", "")
	StoreHistoryTruncated = define(7103, "history gone", info, "The store no longer keeps the records that come next; the newest record of each key is read.", "")
	RecordIgnored         = define(7104, "record ignored", warning, "A record in the store can't be read and changes nothing.", "Find out which program writes to the topic.")
	StoreCallFailed       = define(7105, "store call failed", warning, "A read or an append did not succeed and is repeated; one line for each run of failures.", "Look for a lost store before this line; if there is none, the error tells what the store answered.")
	UpdateNotForwarded    = define(7107, "news not passed on", routine, "Another daemon did not take what this one read from the store; it reads for itself.", "")
	RelayFailed           = define(7106, "relayed store call failed", routine, "Other daemons could not make a call to the store for this one.", "")

	RoutesInForce  = define(7201, "routes in force", info, "Requests are routed by this version from now on.", "")
	ConfigRejected = define(7202, "configuration rejected", failure, "The operator's configuration can't be read; the version in force stays.", "Write a configuration that is valid.")

	PeerJoined          = define(7301, "daemon joined", info, "A daemon or a change of its target was learnt.", "")
	PeerSuspected       = define(7302, "daemon silent", warning, "A daemon has not been heard for longer than its statuses may take.", "Look whether its instance runs and is reachable; its keys move if it stays silent.")
	PeerResponded       = define(7303, "daemon heard again", info, "A silent daemon answers again.", "")
	PeerRemoved         = define(7304, "daemon forgotten", info, "A daemon that stayed silent and owns nothing was taken out of the directory.", "")
	MemberRecorded      = define(7305, "own record stored", info, "The store has the record of this daemon and its target.", "")
	RemovalFailed       = define(7310, "removal failed", warning, "A daemon that is to be forgotten could not be taken out of the directory; the next look tries again.", "Look for a lost store before this line.")
	UpdateNotFetched    = define(7311, "news not fetched", info, "What another daemon or the store has and this one lacks could not be read; it is tried again.", "")
	TargetChanged       = define(7306, "target changed", info, "A heartbeat, a refused connection or a departure changed what is known of the target.", "")
	HeartbeatIgnored    = define(7307, "heartbeat ignored", warning, "A heartbeat can't be read or names another target; it changes nothing.", "Check who sends heartbeats to this daemon.")
	HeartbeatOutOfOrder = define(7308, "heartbeat out of order", info, "A heartbeat is older than one that was taken; it renews nothing.", "")
	GrantsNotRenewed    = define(7309, "nothing renewed", warning, "A heartbeat was answered without grants, since the lease of the daemon is not confirmed.", "Look for a lost store and silent daemons before this line.")

	TableProposed       = define(7401, "owner table proposed", info, "This daemon appends a new table of owners.", "")
	TableProposalFailed = define(7402, "owner table void", info, "The proposal came too late or was refused; it is made anew from what stands in the store.", "")
	TableInForce        = define(7403, "owner table in force", info, "A new table of owners was read.", "")
	ShardsReleased      = define(7404, "rows released", info, "The target has let rows of keys go.", "")

	RequestRefused = define(7501, "request refused", info, "A request was answered as not run.", "")
	RequestFailed  = define(7502, "request failed", info, "A request was answered as of unknown outcome.", "")
	RequestLate    = define(7503, "request late", info, "A request was answered after its objective.", "")
	RequestDone    = define(7504, "request done", routine, "A request was answered in time.", "")
	RequestResent  = define(7505, "request sent once more", info, "A request goes to another target after the first one did not answer it.", "")
	AttemptRefused = define(7506, "attempt refused", routine, "A daemon or its target refused a request without running it.", "")
	TargetFailed   = define(7507, "target failed", info, "A target gave no whole answer of its own.", "")
)
