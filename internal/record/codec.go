package record

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the size in bytes of the largest encoded record that Decode accepts.
const MaxSize = 8 << 20

// ErrUnknownKind is returned for a record of a kind that this version doesn't
// support.
var ErrUnknownKind = errors.New("unknown record kind")

// ErrVersion is returned for a record whose encoding this version doesn't
// support.
var ErrVersion = errors.New("unknown record version")

// Encode returns the encoding of e in the log: the envelope followed by the body.
// It sets the version and the kind itself.
func Encode(e Envelope) ([]byte, error) {
	if e.Body == nil {
		return nil, errors.New("record has no body")
	}
	e.Version = Version
	e.Kind = e.Body.Kind()
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	if err := enc.Encode(&e); err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	if err := enc.Encode(e.Body); err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	return buf.Bytes(), nil
}

// Decode decodes a record. It returns ErrVersion or ErrUnknownKind, wrapped, for
// records of a newer program, and other errors for corrupt records.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxSize {
		return e, errors.Errorf("record of %d bytes exceeds the limit of %d", len(data), MaxSize)
	}
	r := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	if err := dec.Decode(&e); err != nil {
		return e, errors.Wrap(err, "decode envelope")
	}
	if e.Version != Version {
		return e, errors.Wrapf(ErrVersion, "version %d", e.Version)
	}
	body, err := decodeBody(dec, e.Kind)
	if err != nil {
		return e, err
	}
	if r.Len() != 0 {
		return e, errors.Errorf("%d trailing bytes after the body", r.Len())
	}
	e.Body = body
	return e, nil
}

func decodeBody(dec *msgpack.Decoder, k Kind) (Body, error) {
	switch k {
	case KindConfigure:
		return decodeAs[Configure](dec)
	case KindJoin:
		return decodeAs[Join](dec)
	case KindReport:
		return decodeAs[Report](dec)
	case KindLeave:
		return decodeAs[Leave](dec)
	case KindReclaim:
		return decodeAs[Reclaim](dec)
	case KindAdopt:
		return decodeAs[Adopt](dec)
	case KindRemove:
		return decodeAs[Remove](dec)
	case KindMove:
		return decodeAs[Move](dec)
	case KindMaintain:
		return decodeAs[Maintain](dec)
	case KindRebooted:
		return decodeAs[Rebooted](dec)
	case KindCancel:
		return decodeAs[Cancel](dec)
	case KindBurn:
		return decodeAs[Burn](dec)
	case KindCheckpointed:
		return decodeAs[Checkpointed](dec)
	default:
		return nil, errors.Wrapf(ErrUnknownKind, "%q", k)
	}
}

func decodeAs[T Body](dec *msgpack.Decoder) (Body, error) {
	var body T
	if err := dec.Decode(&body); err != nil {
		return nil, errors.Wrapf(err, "decode %s", body.Kind())
	}
	return body, nil
}
