package logevent

// Events of a cell: roles, leases and ownership.
var (
	LeaderChanged          = define(2001, "leader changed", info, "Another daemon leads the cell.", "")
	DeputyChanged          = define(2002, "deputy changed", info, "The cell has another deputy, or none.", "")
	RangeGranted           = define(2003, "range granted", info, "A range has a new owner.", "")
	RangeRevoked           = define(2004, "range revoked", info, "A range was revoked from its owner.", "")
	MemberJoined           = define(2005, "member joined", info, "A daemon has joined the cell.", "")
	MemberLost             = define(2006, "member lost", warning, "A member's leases have expired; its ranges are granted to other members.", "Check whether the instance was replaced; if not, check its host and network.")
	RecordRejected         = define(2007, "record without effect", info, "A record of the cell's stream conflicted with an earlier one and was rejected.", "")
	RangeSplit             = define(2008, "range split", info, "A range was divided, usually around a hot key.", "")
	RangesMerged           = define(2009, "ranges merged", info, "Adjacent ranges of one owner were merged.", "")
	CellRecovered          = define(2010, "cell recovered", warning, "A member has become leader after both leader and deputy failed.", "Look for a common cause of the two failures.")
	AssignmentsProvisional = define(2014, "assignments provisional", warning, "Assignments are stored by leader and deputy only, since the log does not answer.", "Restore the log service; avoid replacing leader or deputy until then.")
)
