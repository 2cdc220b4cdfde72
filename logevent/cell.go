package logevent

// Events of a cell: roles, leases and ownership.
var (
	LeaderChanged          = define(2001, "leader changed", info, "Another daemon leads the cell.", "")
	DeputyChanged          = define(2002, "deputy changed", info, "The cell has another deputy, or none.", "")
	RangeGranted           = define(2003, "range granted", info, "A range has a new owner.", "")
	RangeRevoked           = define(2004, "range revoked", info, "A range was taken from its owner.", "")
	MemberJoined           = define(2005, "member joined", info, "A daemon has announced itself to the cell.", "")
	MemberLost             = define(2006, "member lost", warning, "A member's leases have lapsed; its ranges are granted to others.", "See whether the instance was replaced; otherwise look at its host and network.")
	RecordVoid             = define(2007, "record without effect", info, "A record of the cell's stream was overtaken by an earlier one.", "")
	RangeSplit             = define(2008, "range split", info, "A range was divided, usually around a hot key.", "")
	RangesMerged           = define(2009, "ranges merged", info, "Neighbouring ranges of one owner were joined.", "")
	CellRecovered          = define(2010, "cell recovered", warning, "A member has become leader after leader and deputy were both lost.", "Look for the common cause of the two losses.")
	AssignmentsProvisional = define(2014, "assignments provisional", warning, "Assignments stand on leader and deputy only, since the log does not answer.", "Restore the log service; avoid replacing leader or deputy until then.")
)
