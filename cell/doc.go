// Package cell decides which member owns which range of a service's hash space
// within one cell, a group of at most MaxMembers targets of one service in one
// region.
//
// The core is a state machine without I/O. A driver calls Step with an event
// and the current reading of the instance's clock, and carries out the
// returned Effects: it sends messages, appends records to the cell's stream,
// applies changes of the local grants and writes the audit trail. Step must be
// called by one goroutine at a time. The protocol and its proof obligations
// are stated in docs/design/0001-ownership.md.
package cell
