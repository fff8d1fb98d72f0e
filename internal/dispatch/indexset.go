package dispatch

// indexSet is a set of small integers with constant-time add and remove, and
// random access to its members.
type indexSet struct {
	members []int
	// position is one more than a member's index in members, and 0 for other
	// integers.
	position []int
}

func (s *indexSet) grow(n int) {
	for len(s.position) < n {
		s.position = append(s.position, 0)
	}
}

func (s *indexSet) set(i int, in bool) {
	if in {
		s.add(i)
		return
	}
	s.remove(i)
}

func (s *indexSet) add(i int) {
	if s.position[i] != 0 {
		return
	}
	s.members = append(s.members, i)
	s.position[i] = len(s.members)
}

func (s *indexSet) remove(i int) {
	at := s.position[i]
	if at == 0 {
		return
	}
	last := s.members[len(s.members)-1]
	s.members[at-1] = last
	s.position[last] = at
	s.members = s.members[:len(s.members)-1]
	s.position[i] = 0
}
