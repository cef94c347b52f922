package consensus

// A leader replicates to members, which are disks at addresses. A node that has lost its disk still
// receives what is meant for that disk, from leaders whose configuration lacks the new one. Such a
// leader does not replicate to this node, whatever the latest configuration in its log says: it may
// come from a leader that could not commit it. So the node asks to join.

// isForOtherDisk reports whether a message of a leader is meant for a disk that was at this node's
// address before. Disk 0 stands for the disk of the first start.
func (m *Machine) isForOtherDisk(msg Message) bool { return !m.isSelf(Member{m.self, msg.ToDisk}) }

// askLeaderToJoin asks the leader to replicate to this disk, at most once per heartbeat.
func (m *Machine) askLeaderToJoin() {
	if m.now-m.lastJoinSent >= heartbeatInterval && !m.isDeparting() {
		m.sendJoin(m.leader.Address)
	}
}
