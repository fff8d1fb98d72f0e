package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/record"
)

// View is a membership as a member has applied it.
type View struct {
	Self    record.MemberID
	Epoch   uint64
	Members []record.MemberID
	// Settled is set once every member has handed over for Epoch.
	Settled bool
	// LostEpoch is the last epoch at which claims may have been lost with their
	// members, 0 for none.
	LostEpoch uint64
}

func (v *View) has(m record.MemberID) bool { return slices.Contains(v.Members, m) }

// Home returns the home of a key: the member that decides on it. It returns ""
// when there are no members.
func (v *View) Home(k Key) record.MemberID {
	order := v.order(k)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// order returns the members by falling rendezvous weight for the key: its home,
// then the holders of further replicas in order of preference.
func (v *View) order(k Key) []record.MemberID {
	type weighed struct {
		member record.MemberID
		weight uint64
	}
	all := make([]weighed, len(v.Members))
	for i, m := range v.Members {
		all[i] = weighed{member: m, weight: weight(m, k)}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member, b.member)
	})
	order := make([]record.MemberID, len(all))
	for i, w := range all {
		order[i] = w.member
	}
	return order
}

func weight(m record.MemberID, k Key) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(m), k.Team, k.Queue, k.Value} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
