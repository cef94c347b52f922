package consensus

import "slices"

// matches reports whether a disk at an address is this member.
func (v Member) matches(address string, disk uint64, founder bool) bool {
	return v.Address == address && (v.Disk == disk || v.Disk == 0 && founder)
}

// isJoint reports whether a change of the voters is in progress, during which both sets decide.
func (s Members) isJoint() bool { return len(s.Old) > 0 }

// allVoters returns the voters of both sets without duplicates.
func (s Members) allVoters() []Member {
	all := slices.Clone(s.Voters)
	for _, v := range s.Old {
		if !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

// findVoter returns the voter, of either set, that matches a disk at an address.
func (s Members) findVoter(address string, disk uint64, founder bool) (Member, bool) {
	for _, v := range s.allVoters() {
		if v.matches(address, disk, founder) {
			return v, true
		}
	}
	return Member{}, false
}

// hasQuorum reports whether the voters that satisfy a predicate are a majority of each set.
func (s Members) hasQuorum(satisfies func(Member) bool) bool {
	return hasMajority(s.Voters, satisfies) && (!s.isJoint() || hasMajority(s.Old, satisfies))
}

// quorumValue returns the highest value that a majority of each set has reached.
func (s Members) quorumValue(valueFor func(Member) uint64) uint64 {
	value := majorityValue(s.Voters, valueFor)
	if s.isJoint() {
		value = min(value, majorityValue(s.Old, valueFor))
	}
	return value
}

func majoritySize(voters []Member) int { return len(voters)/2 + 1 }

// hasMajority reports whether a majority of the voters satisfies a predicate.
func hasMajority(voters []Member, satisfies func(Member) bool) bool {
	count := 0
	for _, v := range voters {
		if satisfies(v) {
			count++
		}
	}
	return count >= majoritySize(voters)
}

// majorityValue returns the highest value that a majority of the voters has reached.
func majorityValue(voters []Member, valueFor func(Member) uint64) uint64 {
	values := make([]uint64, 0, len(voters))
	for _, v := range voters {
		values = append(values, valueFor(v))
	}
	slices.Sort(values)
	return values[len(values)-majoritySize(voters)]
}
