// Package record defines the typed records of the control stream and their
// encoding.
//
// All daemons fold the same records in the same order, so a record must not hold
// anything whose meaning depends on its reader: no local time, no address of the
// reader, no map order. The rules for applying records belong to the aggregates
// that fold them.
package record

// Offset is the position of a record in a stream of the log. The first record
// of a stream has offset 0.
type Offset int64

// NoOffset is the offset before the first record.
const NoOffset Offset = -1

// MemberID identifies one membership of a daemon. A daemon that restarts or is
// reclaimed joins under a new one.
type MemberID string

// Kind is the type of a record's body.
type Kind string

// Kinds of records on the control stream.
const (
	KindConfigure Kind = "configure"
	KindJoin      Kind = "join"
	KindReport    Kind = "report"
	KindLeave     Kind = "leave"
	KindReclaim   Kind = "reclaim"
	KindAdopt     Kind = "adopt"
	KindRemove    Kind = "remove"
	KindMove      Kind = "move"
	KindMaintain  Kind = "maintain"
	KindRebooted  Kind = "rebooted"
	KindCancel    Kind = "cancel"
	KindBurn      Kind = "burn"
	// KindCheckpointed announces a checkpoint.
	KindCheckpointed Kind = "checkpointed"
)

// Version is the version of the record encoding.
const Version = 1

// Envelope is a record with its metadata, as it is written to the log.
type Envelope struct {
	Version int      `msgpack:"v"`
	ID      string   `msgpack:"i"`
	Kind    Kind     `msgpack:"k"`
	Author  MemberID `msgpack:"a"`
	// Seq increases by one with each record of a member. The fold ignores a
	// record whose sequence is not above the author's last. It is zero if the
	// author is not a member, such as the command-line tool.
	Seq  uint64 `msgpack:"s"`
	Body Body   `msgpack:"-"`
}

// Body is implemented by every record type.
type Body interface {
	Kind() Kind
}

// Configure changes the configuration from revision Base to Base+1.
type Configure struct {
	Base uint64 `msgpack:"b"`
	// Delta is the encoded configuration.Delta from Base to the result.
	Delta []byte `msgpack:"d"`
	// Digest is the digest of the resulting document, in hexadecimal.
	Digest string `msgpack:"g"`
	// Operator is free text that names the person who applied the change.
	Operator string `msgpack:"o"`
}

// Join adds the author to the members.
type Join struct {
	Instance   string `msgpack:"i"`
	DataCentre string `msgpack:"d"`
	Rack       string `msgpack:"r"`
	// PeerAddr and OpsAddr are host:port.
	PeerAddr string `msgpack:"p"`
	OpsAddr  string `msgpack:"o"`
}

// CreditChange is a number of credits of one team.
type CreditChange struct {
	Team  string `msgpack:"t"`
	Count int    `msgpack:"n"`
}

// Report is a member's batched report: what it has applied, which credits it
// yields and requests, and which instances it has cleared. It is also the
// member's heartbeat.
type Report struct {
	// Folded is the highest offset whose effects the author had applied when it
	// created this report.
	Folded Offset `msgpack:"f"`
	// HandedOver is the membership epoch up to which the author has transferred
	// its idempotency claims to their homes.
	HandedOver uint64 `msgpack:"h"`
	// Yields are credits that the author no longer uses.
	Yields []CreditChange `msgpack:"y,omitempty"`
	// Takes are credits that the author requests. It is granted those that are
	// free.
	Takes []CreditChange `msgpack:"t,omitempty"`
	// Cleared are draining instances on which the author runs nothing and will
	// start nothing while they drain.
	Cleared []string `msgpack:"c,omitempty"`
}

// Leave removes the author from the members and yields all it holds.
type Leave struct{}

// Reclaim removes a member that is considered dead and frees its grants.
type Reclaim struct {
	Member MemberID `msgpack:"m"`
	// LastSeq is the member's last sequence that the author had folded. The fold
	// ignores the reclaim if the member has written since.
	LastSeq uint64 `msgpack:"s"`
}

// Adopt adds an instance to the fleet, in its first pool.
type Adopt struct {
	Instance   string `msgpack:"i"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	Rack       string `msgpack:"r"`
	Pool       string `msgpack:"p"`
	Slots      int    `msgpack:"s"`
	// MaintainedAt is the time of adoption, from which the time since the last
	// maintenance is counted, in Unix seconds.
	MaintainedAt int64 `msgpack:"m"`
}

// Remove starts the removal of an instance that the directory no longer lists.
// It takes effect once every member has cleared the instance.
type Remove struct {
	Instance string `msgpack:"i"`
	// Version is the instance's version that the author's decision is based on.
	Version uint64 `msgpack:"v"`
}

// Move starts the move of an instance to another pool. It takes effect once
// every member has cleared the instance.
type Move struct {
	Instance string `msgpack:"i"`
	To       string `msgpack:"t"`
	Version  uint64 `msgpack:"v"`
}

// Maintain starts draining an instance for a reboot.
type Maintain struct {
	Instance string `msgpack:"i"`
	Wave     string `msgpack:"w"`
	Version  uint64 `msgpack:"v"`
}

// Rebooted ends the maintenance of an instance, which then returns to service.
type Rebooted struct {
	Instance string `msgpack:"i"`
	Version  uint64 `msgpack:"v"`
	// At is the time of the reboot in Unix seconds, by the author's clock.
	At int64 `msgpack:"t"`
}

// Cancel ends a move, removal or maintenance that has not taken effect.
type Cancel struct {
	Instance string `msgpack:"i"`
	Version  uint64 `msgpack:"v"`
}

// BurnCount is one member's counts of answers for one service. Good answers are
// counted per service, without data centre and pool.
type BurnCount struct {
	Service    string `msgpack:"s"`
	DataCentre string `msgpack:"d,omitempty"`
	Pool       string `msgpack:"p,omitempty"`
	Good       int64  `msgpack:"g,omitempty"`
	Refused    int64  `msgpack:"r,omitempty"`
	TimedOut   int64  `msgpack:"t,omitempty"`
	MayHaveRun int64  `msgpack:"m,omitempty"`
	Late       int64  `msgpack:"l,omitempty"`
	Failed     int64  `msgpack:"f,omitempty"`
}

// Burn adds the counts of one period to the service-level totals.
type Burn struct {
	// Start and End are the period's bounds in Unix seconds.
	Start  int64       `msgpack:"a"`
	End    int64       `msgpack:"b"`
	Counts []BurnCount `msgpack:"c"`
}

// Checkpointed announces a checkpoint that its author has read back.
type Checkpointed struct {
	// Next is the offset of the first record not in the checkpoint.
	Next Offset `msgpack:"n"`
}

// Kind implements Body.
func (Checkpointed) Kind() Kind { return KindCheckpointed }

// Kind implements Body.
func (Configure) Kind() Kind { return KindConfigure }

// Kind implements Body.
func (Join) Kind() Kind { return KindJoin }

// Kind implements Body.
func (Report) Kind() Kind { return KindReport }

// Kind implements Body.
func (Leave) Kind() Kind { return KindLeave }

// Kind implements Body.
func (Reclaim) Kind() Kind { return KindReclaim }

// Kind implements Body.
func (Adopt) Kind() Kind { return KindAdopt }

// Kind implements Body.
func (Remove) Kind() Kind { return KindRemove }

// Kind implements Body.
func (Move) Kind() Kind { return KindMove }

// Kind implements Body.
func (Maintain) Kind() Kind { return KindMaintain }

// Kind implements Body.
func (Rebooted) Kind() Kind { return KindRebooted }

// Kind implements Body.
func (Cancel) Kind() Kind { return KindCancel }

// Kind implements Body.
func (Burn) Kind() Kind { return KindBurn }
