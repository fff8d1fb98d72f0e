package claims

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

// keyFor returns a key whose order starts with the given members.
func keyFor(n *node, first ...record.MemberID) Key {
	v := n.service.Registry().View()
	for i := 0; ; i++ {
		k := Key{Value: fmt.Sprint("k", i)}
		order := v.order(k)
		matches := true
		for j, m := range first {
			matches = matches && order[j] == m
		}
		if matches {
			return k
		}
	}
}

func acquire(n *node, k Key) (*Grant, Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.service.Acquire(ctx, k, Digest{1})
}

func TestRepeatedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		k := Key{Team: "vets", Queue: "engraving", Value: "order-7"}
		grant, _, err := acquire(c.nodes[0], k)
		is.NoErr(err)

		_, _, err = acquire(c.nodes[1], k)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.Equal(verdict.CodeOf(err), verdict.CodeInProgress)
		_, _, err = c.nodes[2].service.Acquire(t.Context(), k, Digest{2})
		is.Equal(verdict.CodeOf(err), verdict.CodeKeyReused)
		other := k
		other.Team = "shops"
		grant2, _, err := acquire(c.nodes[1], other) // another team's key
		is.NoErr(err)
		grant2.Release()

		time.AfterFunc(500*time.Millisecond, func() {
			grant.Finish(Result{Verdict: verdict.Ran, Status: 200, Body: []byte("tag"), Whole: true})
		})
		_, result, err := acquire(c.nodes[2], k) // waits for the first claim
		is.NoErr(err)
		is.Equal(string(result.Body), "tag")

		grant3, _, err := acquire(c.nodes[0], other) // released
		is.NoErr(err)
		grant3.Finish(Result{Verdict: verdict.Ran, Body: make([]byte, testOptions.MaxBody+1), Whole: true})
		time.Sleep(time.Second)
		_, result, err = acquire(c.nodes[1], other)
		is.NoErr(err)
		is.Equal(result.Whole, false) // too large to keep
		is.Equal(result.Verdict, verdict.Ran)

		time.Sleep(testOptions.Window)
		for _, n := range c.nodes {
			n.service.Registry().begin(Request{Key: Key{Value: "new"}})
			is.True(n.service.Registry().Stats().Claims <= 1)
			is.Equal(n.service.Registry().Stats().Bodies, 0)
		}
	})
}

// A home that was reclaimed while it didn't read the log can't grant a claim:
// no other member accepts its replica.
func TestStaleHomeGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		k := keyFor(c.nodes[0], "m0")
		c.append(func(ms *member.Members, at record.Offset) { ms.Reclaim(at, "m0") })
		for range 2 {
			c.nodes[1].fold(len(c.log))
			c.nodes[1].handOver()
			c.nodes[2].fold(len(c.log))
			c.nodes[2].handOver()
		}
		_, _, err := acquire(c.nodes[1], k)
		is.NoErr(err)
		grant, _, err := acquire(c.nodes[0], k)
		is.True(grant == nil)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	})
}

// A leaving member accepts no replicas once it has handed over its claims.
func TestLeavingMemberAcceptsNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		k := keyFor(c.nodes[0], "m0", "m2")
		is.NoErr(c.nodes[2].service.Leave(t.Context()))
		_, _, err := acquire(c.nodes[0], k)
		is.NoErr(err)
		c.nodes[2].kill()
		c.append(func(ms *member.Members, at record.Offset) { ms.Remove(at, "m2") })
		c.crash(c.nodes[0])
		c.settleMembers()
		grant, _, err := acquire(c.nodes[1], k)
		is.True(grant == nil)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	})
}

// A member with an older replica is still sent the newer one.
func TestNewerReplicaIsHandedOver(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(testOptions, time.Now)
	r.Advance(View{Self: "m0", Epoch: 1, Members: []record.MemberID{"m0", "m1"}})
	k := Key{Value: "k"}
	r.merge(Transfer{From: "m9", Epoch: 1, Copies: []Replica{{Key: k, Attempt: 2, State: Started, Token: "new"}}})
	r.merge(Transfer{From: "m1", Epoch: 1, Copies: []Replica{{Key: k, Attempt: 1, State: Released, Token: "old"}}})
	due, _ := r.export(handOverExclusions{})
	is.Equal(due["m1"].Copies[0].Attempt, 2)
}

// A hand-over isn't complete while a home can't be reached. It is complete when
// only the holder of a second replica can't.
func TestHandOverReachesEachHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		c.join()
		c.unreachable = "m3"
		c.nodes[3].fold(len(c.log))
		home := keyFor(c.nodes[3], "m3", "m0")
		second := keyFor(c.nodes[3], "m0", "m3")
		for _, k := range []Key{home, second} {
			_, _, err := acquire(c.nodes[0], k)
			is.NoErr(err)
		}
		n := c.nodes[0]
		n.fold(len(c.log))
		is.True(n.service.HandOver(t.Context()) != nil)
		is.True(n.service.Registry().HandedOver() < n.members.Epoch())
		c.unreachable = ""
		is.NoErr(n.service.HandOver(t.Context()))
		is.Equal(n.service.Registry().HandedOver(), n.members.Epoch())
	})
}

func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		early := uuid.Must(uuid.NewV7())
		c.crash(c.nodes[0])
		c.crash(c.nodes[1])
		c.settleMembers()
		n := c.nodes[2]
		time.Sleep(2 * testOptions.Skew)
		late := uuid.Must(uuid.NewV7())
		for key, granted := range map[string]bool{early.String(): false, "order-7": false, late.String(): true} {
			grant, _, err := acquire(n, Key{Value: key})
			is.Equal(grant != nil, granted)
			if !granted {
				is.Equal(verdict.Of(err), verdict.MayHaveRun)
				is.Equal(verdict.CodeOf(err), verdict.CodeHistoryLost)
			}
		}
		// A member that joins later learns the time of the loss.
		c.join()
		c.settleMembers()
		time.Sleep(testOptions.Window - 2*testOptions.Skew)
		grant, _, err := acquire(c.nodes[3], keyFor(n, "m3"))
		is.NoErr(err)
		is.True(grant != nil)
	})
}

// BenchmarkExport measures a hand-over's scan of 10,000 claims that need no
// transfer.
func BenchmarkExport(b *testing.B) {
	o := testOptions
	o.MaxClaims = 10_000
	r := NewRegistry(o, time.Now)
	r.Advance(View{Self: "m0", Epoch: 1, Settled: true, Members: []record.MemberID{"m0"}})
	for i := range o.MaxClaims {
		r.begin(Request{Key: Key{Value: fmt.Sprint(i)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.export(handOverExclusions{})
	}
}
