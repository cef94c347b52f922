package consensus

import "slices"

// is tells whether a disk at an address is this member.
func (v Member) matches(address string, disk uint64, founder bool) bool {
	return v.Address == address && (v.Disk == disk || v.Disk == 0 && founder)
}

// joint tells whether a change of the voters is under way: both sets decide.
func (s Members) isJoint() bool { return len(s.Old) > 0 }

// all are the voters of both sets, each once.
func (s Members) allVoters() []Member {
	all := slices.Clone(s.Voters)
	for _, v := range s.Old {
		if !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

// find is the voter of either set that a disk at an address is.
func (s Members) findVoter(address string, disk uint64, founder bool) (Member, bool) {
	for _, v := range s.allVoters() {
		if v.matches(address, disk, founder) {
			return v, true
		}
	}
	return Member{}, false
}

// quorum tells whether the voters for which something holds are a majority of each set.
func (s Members) hasQuorum(satisfies func(Member) bool) bool {
	return hasMajority(s.Voters, satisfies) && (!s.isJoint() || hasMajority(s.Old, satisfies))
}

// quorumValue is the highest value that a majority of each set has reached.
func (s Members) quorumValue(valueFor func(Member) uint64) uint64 {
	value := majorityValue(s.Voters, valueFor)
	if s.isJoint() {
		value = min(value, majorityValue(s.Old, valueFor))
	}
	return value
}

func majoritySize(voters []Member) int { return len(voters)/2 + 1 }

func hasMajority(voters []Member, satisfies func(Member) bool) bool {
	count := 0
	for _, v := range voters {
		if satisfies(v) {
			count++
		}
	}
	return count >= majoritySize(voters)
}

func majorityValue(voters []Member, valueFor func(Member) uint64) uint64 {
	values := make([]uint64, 0, len(voters))
	for _, v := range voters {
		values = append(values, valueFor(v))
	}
	slices.Sort(values)
	return values[len(values)-majoritySize(voters)]
}
