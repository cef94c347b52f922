package consensus

// A message is meant for a member, which is a disk at an address. A node that has lost its disk
// still receives what is meant for that disk: late messages, and those of leaders whose configuration
// lacks the new one. None of them changes its log, its snapshot, its votes or its departure.
//
// A leader that writes to the lost disk does not replicate to this node, whatever the latest
// configuration in its log says: it may come from a leader that could not commit it. So the node
// asks to join.

// isForOtherDisk reports whether a message is meant for a disk that was at this node's address
// before. In messages of a leader, disk 0 stands for the disk of the first start, in others for any.
func (m *Machine) isForOtherDisk(msg Message) bool {
	switch msg.Kind {
	case AppendEntries, InstallSnapshot:
		return !m.isSelf(Member{m.self, msg.ToDisk})
	}
	return msg.ToDisk != 0 && msg.ToDisk != m.diskID
}

// handleForOtherDisk takes from a message for another disk who leads, and nothing else.
func (m *Machine) handleForOtherDisk(msg Message) {
	m.otherDiskMessages++
	switch msg.Kind {
	case AppendEntries, InstallSnapshot:
		if m.acceptLeader(msg) {
			m.askLeaderToJoin()
		}
	}
}

// askLeaderToJoin asks the leader to replicate to this disk, at most once per heartbeat.
func (m *Machine) askLeaderToJoin() {
	if m.now-m.lastJoinSent >= heartbeatInterval && !m.isDeparting() {
		m.sendJoin(m.leader.Address)
	}
}

// replyTo returns a reply to the disk that sent a request.
func replyTo(request, reply Message) Message {
	reply.To, reply.ToDisk = request.From, request.Disk
	return reply
}
