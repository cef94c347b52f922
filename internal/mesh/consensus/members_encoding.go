package consensus

import "encoding/binary"

// A joint configuration is kept as the mesh's number, the target, how many incoming voters there
// are, and the incoming and the outgoing voters. Its kind of record is its own, so that a program
// that knows no joint configurations doesn't take the store.

func appendJointMembers(b []byte, s *Members) []byte {
	b = binary.BigEndian.AppendUint64(b, s.Mesh)
	b = binary.AppendUvarint(b, uint64(s.Target))
	b = binary.AppendUvarint(b, uint64(len(s.Voters)))
	for _, v := range s.Voters {
		b = appendMember(b, v)
	}
	for _, v := range s.Old {
		b = appendMember(b, v)
	}
	return b
}

func decodeJointMembers(b []byte) (*Members, bool) {
	if len(b) < 8 {
		return nil, false
	}
	s := &Members{Mesh: binary.BigEndian.Uint64(b)}
	target, n := binary.Uvarint(b[8:])
	if n <= 0 {
		return nil, false
	}
	s.Target, b = int(target), b[8+n:]
	incoming, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, false
	}
	for b = b[n:]; len(b) > 0; {
		v, rest, ok := decodeMember(b)
		if !ok {
			return nil, false
		}
		if b = rest; uint64(len(s.Voters)) < incoming {
			s.Voters = append(s.Voters, v)
		} else {
			s.Old = append(s.Old, v)
		}
	}
	return s, uint64(len(s.Voters)) == incoming && incoming > 0 && s.isJoint()
}

func appendMember(b []byte, v Member) []byte {
	b = binary.BigEndian.AppendUint64(b, v.Disk)
	return append(binary.AppendUvarint(b, uint64(len(v.Address))), v.Address...)
}

// cutMember takes a member off the front.
func decodeMember(b []byte) (v Member, rest []byte, ok bool) {
	if len(b) < 9 {
		return Member{}, nil, false
	}
	v.Disk = binary.BigEndian.Uint64(b)
	length, n := binary.Uvarint(b[8:])
	if n <= 0 || uint64(len(b[8+n:])) < length {
		return Member{}, nil, false
	}
	b = b[8+n:]
	v.Address = string(b[:length])
	return v, b[length:], true
}
