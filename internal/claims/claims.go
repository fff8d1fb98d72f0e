// Package claims keeps idempotency keys: which request holds a key, and what
// became of it, so that a repeated non-idempotent request isn't started twice
// through whichever daemon it comes.
//
// Each key has a home, a member chosen by rendezvous hashing. The home grants
// a claim only once another member holds a copy. At a membership change every
// member hands its copies to the new homes before it reports so, and no home
// serves until all have reported. The package knows no HTTP, no backend
// server and no log; it is told the members and calls its peers through an
// interface.
package claims

import (
	"crypto/sha256"
	"time"

	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Key is an idempotency key in its scope.
type Key struct {
	Team  string
	Queue string
	// Value is the key as the caller sent it.
	Value string
}

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's content type and body.
func DigestOf(contentType string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(contentType))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(h.Sum(nil))
}

// State is the progress of a claim. Later states have higher values.
type State uint8

const (
	// Started claims may have a task running.
	Started State = iota + 1
	// Released claims are proved not to have run; the key may be claimed
	// again.
	Released
	// Finished claims have a result.
	Finished
)

// Result is what became of a finished claim.
type Result struct {
	// Verdict is Ran for an answer, MayHaveRun when the answer was lost.
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	Body        []byte
	Instance    string
	// Whole is set while the answer is kept with its body.
	Whole bool
}

// Replica is one claim as members hold and exchange it.
type Replica struct {
	Key     Key
	Request Digest
	// Attempt counts the claims of the key; a released key's next is higher.
	// It is 0 for a release that came without its claim.
	Attempt int
	// Token names the request that holds the claim.
	Token string
	// Owner is the member that runs the request.
	Owner  record.MemberID
	State  State
	Result Result
	// Age is the time since the claim was made. Ages are exchanged in place
	// of times, since clocks differ.
	Age time.Duration
}

// supersedes tells whether c is later news of its key than other.
func (r *Replica) supersedes(other *Replica) bool {
	if r.Attempt != other.Attempt {
		return r.Attempt > other.Attempt
	}
	return r.Token == other.Token && r.State > other.State
}

// Request asks for the claim of a key.
type Request struct {
	Key     Key
	Request Digest
	// Token names the request; asking again with the same token is
	// idempotent.
	Token string
	Owner record.MemberID
	// Wait is how long to wait for the result of a claim that is running.
	Wait time.Duration
}

// Settlement ends a claim: State is Released or Finished.
type Settlement struct {
	Key     Key
	Request Digest
	Token   string
	Owner   record.MemberID
	State   State
	Result  Result
}

// Transfer hands copies to a member.
type Transfer struct {
	From   record.MemberID
	Epoch  uint64
	Copies []Replica
	// Replica is set for the copy of a new claim, which a member at another
	// epoch must refuse.
	Replica bool
	// LostEpoch is the last epoch at which history was lost, and LostAge the
	// time since the sender learnt of it.
	LostEpoch uint64
	LostAge   time.Duration
}

// Receipt is a member's answer to a transfer.
type Receipt uint8

const (
	// ReceiptAccepted means that the member holds the copies.
	ReceiptAccepted Receipt = iota + 1
	// ReceiptRefused means that it doesn't, for the present.
	ReceiptRefused
	// ReceiptClosed means that it is leaving and will grant no claim again.
	ReceiptClosed
)

// Reply is the home's answer to a request for a claim. With neither Granted
// nor Refusal set, Result is that of the claim that holds the key.
type Reply struct {
	Granted bool
	Refusal *Refusal
	Result  Result
}

// Refusal is a verdict.Error without its cause, as peers exchange it.
type Refusal struct {
	Verdict verdict.Verdict
	Code    verdict.Code
	Detail  string
}

func refuse(v verdict.Verdict, c verdict.Code, detail string) *Refusal {
	return &Refusal{Verdict: v, Code: c, Detail: detail}
}

// Err returns the refusal as an error.
func (r *Refusal) Err() error { return verdict.New(r.Verdict, r.Code, "%s", r.Detail) }
