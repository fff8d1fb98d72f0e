// Package claims keeps idempotency keys: which request holds a key, and its
// result, so that a repeated non-idempotent request isn't started twice,
// whichever daemon receives it.
//
// Each key has a home: the member that is the primary for the key, chosen by
// rendezvous hashing. The home grants a claim only once another member holds a
// replica. At a membership change every member hands its replicas over to the
// new homes before it reports so, and no home serves until all have reported.
// The package depends on no HTTP, backend server or log; its caller supplies
// the members, and it calls peers through an interface.
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
	// Value is the key as sent by the caller.
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
	// Released claims are known not to have run; the key may be claimed again.
	Released
	// Finished claims have a result.
	Finished
)

// Result is the outcome of a finished claim.
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

// Replica is one claim as members store and exchange it.
type Replica struct {
	Key     Key
	Request Digest
	// Attempt counts the claims of the key: a claim after a release has a
	// higher number. It is 0 for a release that arrived before its claim.
	Attempt int
	// Token names the request that holds the claim.
	Token string
	// Owner is the member that runs the request.
	Owner  record.MemberID
	State  State
	Result Result
	// Age is the time since the claim was made. Members exchange ages instead
	// of times, since their clocks differ.
	Age time.Duration
}

// supersedes reports whether r is a later state of its key than other.
func (r *Replica) supersedes(other *Replica) bool {
	if r.Attempt != other.Attempt {
		return r.Attempt > other.Attempt
	}
	return r.Token == other.Token && r.State > other.State
}

// Request is a request to claim a key.
type Request struct {
	Key     Key
	Request Digest
	// Token names the request; a repeat with the same token is idempotent.
	Token string
	Owner record.MemberID
	// Wait is how long to wait for the result when the key's claim is still
	// running.
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

// Transfer sends replicas to a member.
type Transfer struct {
	From  record.MemberID
	Epoch uint64
	// Copies are the replicas sent.
	Copies []Replica
	// Replica is set for a new claim, before it is granted. A member at another
	// epoch must refuse it.
	Replica bool
	// LostEpoch is the last epoch at which history was lost, and LostAge the
	// time since the sender detected the loss.
	LostEpoch uint64
	LostAge   time.Duration
}

// Receipt is a member's answer to a transfer.
type Receipt uint8

const (
	// ReceiptAccepted means that the member holds the replicas.
	ReceiptAccepted Receipt = iota + 1
	// ReceiptRefused means that it doesn't hold them for now.
	ReceiptRefused
	// ReceiptClosed means that it is leaving and will grant no further claims.
	ReceiptClosed
)

// Reply is the home's answer to a claim request. With neither Granted nor
// Refusal set, Result is the result of the claim that holds the key.
type Reply struct {
	Granted bool
	Refusal *Refusal
	Result  Result
}

// Refusal is the part of a verdict.Error that peers exchange, without its
// cause.
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
