package record

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Envelope{ID: "x", Author: "m1", Seq: 7, Body: Report{
		Folded: 12,
		Yields: []CreditChange{{Team: "a", Count: 2}},
	}}
	data, err := Encode(in)
	is.NoErr(err)
	out, err := Decode(data)
	is.NoErr(err)
	in.Version, in.Kind = Version, KindReport
	is.Equal(out, in)
}

func TestDecodeRefusesBadRecords(t *testing.T) {
	is := is.New(t)
	data, err := Encode(Envelope{ID: "x", Body: Leave{}})
	is.NoErr(err)
	_, err = Decode(data[:len(data)-1])
	is.True(err != nil) // truncated
	_, err = Decode(append(data, 0))
	is.True(err != nil) // trailing byte
	_, err = Decode(nil)
	is.True(err != nil) // empty
}

func FuzzDecode(f *testing.F) {
	for _, b := range []Body{Leave{}, Report{Folded: 3}, Join{Instance: "i"}, Configure{Base: 1}} {
		data, err := Encode(Envelope{ID: "seed", Body: b})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(e); err != nil {
			t.Fatalf("encode decoded record: %v", err)
		}
	})
}

func TestUnknownKindError(t *testing.T) {
	is := is.New(t)
	_, err := decodeBody(nil, "future")
	is.True(errors.Is(err, ErrUnknownKind))
}
