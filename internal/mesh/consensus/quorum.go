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
func (s Members) hasQuorum(holds func(Member) bool) bool {
	return hasMajority(s.Voters, holds) && (!s.isJoint() || hasMajority(s.Old, holds))
}

// quorumValue is the highest value that a majority of each set has reached.
func (s Members) quorumValue(of func(Member) uint64) uint64 {
	value := majorityValue(s.Voters, of)
	if s.isJoint() {
		value = min(value, majorityValue(s.Old, of))
	}
	return value
}

func majoritySize(voters []Member) int { return len(voters)/2 + 1 }

func hasMajority(voters []Member, holds func(Member) bool) bool {
	count := 0
	for _, v := range voters {
		if holds(v) {
			count++
		}
	}
	return count >= majoritySize(voters)
}

func majorityValue(voters []Member, of func(Member) uint64) uint64 {
	values := make([]uint64, 0, len(voters))
	for _, v := range voters {
		values = append(values, of(v))
	}
	slices.Sort(values)
	return values[len(values)-majoritySize(voters)]
}
