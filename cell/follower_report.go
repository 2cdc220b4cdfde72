package cell

// saveReport keeps the newest assignment state that this process has as leader or
// deputy, to report it to the leader of the next term.
func (n *Node) saveReport() {
	state := State{}
	switch {
	case n.leader != nil:
		state = State{Term: n.leader.term, Seq: n.leader.table.seq, Grants: n.leader.grants()}
	case n.deputy.seq > 0:
		state = State{Term: n.deputy.term, Seq: n.deputy.seq, Grants: n.deputy.grants}
	default:
		return
	}
	if n.follower.report == nil || n.follower.report.older(state) {
		n.follower.report = &state
	}
}

// older reports whether s is an older state than t.
func (s *State) older(t State) bool {
	return s.Term < t.Term || s.Term == t.Term && s.Seq < t.Seq
}
