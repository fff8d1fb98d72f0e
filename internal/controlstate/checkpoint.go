package controlstate

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/team"
)

// checkpointVersion is the version of the checkpoint encoding.
const checkpointVersion = 1

// checkpoint is the encoded form of a state. It has no maps, whose order differs
// between processes: all daemons encode the state at an offset to the same
// bytes.
type checkpoint struct {
	Version      int           `msgpack:"v"`
	Next         record.Offset `msgpack:"n"`
	Revision     uint64        `msgpack:"r"`
	ConfiguredBy string        `msgpack:"cb"`
	ConfiguredAt record.Offset `msgpack:"ca"`
	Checkpointed record.Offset `msgpack:"p"`
	Digest       string        `msgpack:"g"`
	// Document is the document's canonical encoding.
	Document []byte              `msgpack:"d"`
	Members  member.State        `msgpack:"m"`
	Fleet    []fleet.Instance    `msgpack:"f"`
	Ledger   []team.AccountState `msgpack:"l"`
	Burn     burn.State          `msgpack:"b"`
}

// Checkpoint encodes a snapshot.
func (s *Snapshot) Checkpoint() ([]byte, error) {
	doc, err := s.Document.Encode()
	if err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(checkpoint{
		Version:      checkpointVersion,
		Next:         s.Next,
		Revision:     s.Revision,
		ConfiguredBy: s.ConfiguredBy,
		ConfiguredAt: s.ConfiguredAt,
		Checkpointed: s.Checkpointed,
		Digest:       s.Digest,
		Document:     doc,
		Members:      s.Members.State(),
		Fleet:        s.Fleet.State(),
		Ledger:       s.Ledger.State(),
		Burn:         s.Burn.State(),
	})
	return data, errors.Wrap(err, "encode checkpoint")
}

// Restore decodes a checkpoint. It returns an error if the data is truncated, has
// bytes after its end or another version, or if the document doesn't match its
// digest.
func Restore(data []byte) (*State, error) {
	c, err := decodeCheckpoint(data)
	if err != nil {
		return nil, err
	}
	if c.Revision > 0 && configuration.DigestOf(c.Document) != c.Digest {
		return nil, errors.New("checkpoint document doesn't match its digest")
	}
	doc, err := configuration.DecodeDocument(c.Document)
	if err != nil {
		return nil, err
	}
	return &State{
		next:         c.Next,
		revision:     c.Revision,
		configuredBy: c.ConfiguredBy,
		configuredAt: c.ConfiguredAt,
		checkpointed: c.Checkpointed,
		doc:          doc,
		index:        configuration.NewIndex(doc),
		digest:       c.Digest,
		dataCentres:  dataCentresOf(doc),
		members:      member.Restore(c.Members),
		fleet:        fleet.Restore(c.Fleet),
		ledger:       team.Restore(c.Ledger),
		burn:         burn.Restore(c.Burn),
	}, nil
}

func decodeCheckpoint(data []byte) (checkpoint, error) {
	var c checkpoint
	r := bytes.NewReader(data)
	if err := msgpack.NewDecoder(r).Decode(&c); err != nil {
		return c, errors.Wrap(err, "decode checkpoint")
	}
	if c.Version != checkpointVersion {
		return c, errors.Errorf("checkpoint has version %d, want %d", c.Version, checkpointVersion)
	}
	if r.Len() != 0 {
		return c, errors.Errorf("%d trailing bytes after the checkpoint", r.Len())
	}
	return c, nil
}
