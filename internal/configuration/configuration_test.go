package configuration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exampleFiles returns a valid configuration in two files.
func exampleFiles() []File {
	hash := HexKeyHash("secret")
	return []File{
		{Name: "fleet.json", Data: []byte(`{
			"dataCentres": {"tr1": {"region": "trondheim", "inService": true}},
			"services": {"engraving": {"availabilityObjective": 0.999, "latencyObjective": "2s", "dailyBudget": 2}},
			"pools": {
				"engraving": {"service": "engraving", "size": 8, "minSize": 4, "maxSize": 12},
				"spare": {"size": 3, "minSize": 1, "maxSize": 20, "spare": true}
			},
			"queues": {"engraving": {"service": "engraving", "pool": "engraving", "runTime": "30s", "maxBody": 65536, "depth": 100}},
			"maintenance": {"interval": "504h", "reboot": "5m"}
		}`)},
		{Name: "teams.json", Data: []byte(`{
			"teams": {"vets": {"share": 2, "limit": 20}},
			"keys": {"vets-1": {"team": "vets", "hash": "` + hash + `"}}
		}`)},
	}
}

func TestComposeMergesFiles(t *testing.T) {
	is := is.New(t)
	doc, err := Compose(exampleFiles())
	is.NoErr(err)
	is.Equal(len(doc.Pools), 2)
	is.Equal(doc.Queues["engraving"].RunTime.D(), 30*time.Second)
	is.Equal(len(Validate(doc)), 0)
}

// Each case replaces one text in the valid files and expects exactly the given
// faults.
func TestComposeReportsEveryFault(t *testing.T) {
	hash := HexKeyHash("secret")
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"syntax", `"depth": 100}}`, `"depth": 100,}}`, []string{`fleet.json: line 8: invalid character`}},
		{"trailing data", `"reboot": "5m"}`, `"reboot": "5m"}} {`, []string{`fleet.json: line 9: invalid character '{' after top-level value`}},
		{"unknown field", `"depth": 100`, `"depth": 100, "deep": 1`, []string{`fleet.json: queues.engraving.deep: unknown field`}},
		{"wrong letter case", `"depth": 100`, `"Depth": 100`, []string{`fleet.json: queues.engraving.Depth: unknown field`}},
		{"unknown section", `"teams":`, `"team":`, []string{`teams.json: team: unknown field`}},
		{"duplicate entry", `"spare": {"size"`, `"engraving": {"size"`, []string{`fleet.json: pools.engraving: duplicate key`}},
		{"duplicate field", `"limit": 20`, `"limit": 20, "limit": 30`, []string{`teams.json: teams.vets.limit = 30: duplicate key`}},
		{"entry in two files", `"teams": {`, `"services": {"engraving": {}}, "teams": {`, []string{`teams.json: services.engraving: defined in fleet.json already`}},
		{"missing field", `, "inService": true`, ``, []string{`fleet.json: dataCentres.tr1.inService: missing field`}},
		{"wrong types", `"share": 2, "limit": 20`, `"share": "2", "limit": 2.5`, []string{
			`teams.json: teams.vets.share = "2": want a number`,
			`teams.json: teams.vets.limit = 2.5: want a whole number`,
		}},
		{"null", `"depth": 100`, `"depth": null`, []string{`fleet.json: queues.engraving.depth = null: want a whole number`}},
		{"array", `{"tr1": {"region": "trondheim", "inService": true}}`, `[]`, []string{`fleet.json: dataCentres = […]: want an object`}},
		{"no unit", `"latencyObjective": "2s"`, `"latencyObjective": "2"`, []string{`services.engraving.latencyObjective = "2": want a duration with a unit`}},
		{"number for a duration", `"runTime": "30s"`, `"runTime": 30`, []string{`queues.engraving.runTime = 30: want a duration with a unit`}},
		{"objective", `0.999`, `1`, []string{`fleet.json: services.engraving.availabilityObjective = 1: must be greater than 0 and less than 1`}},
		{"ranges", `"runTime": "30s", "maxBody": 65536, "depth": 100`, `"runTime": "0s", "maxBody": 0, "depth": -1`, []string{
			`queues.engraving.runTime = "0s": must be greater than 0`,
			`queues.engraving.maxBody = 0: out of range`,
			`queues.engraving.depth = -1: out of range`,
		}},
		{"sizes", `"size": 8`, `"size": 13`, []string{`pools.engraving.size = 13: must be within minSize 4 and maxSize 12`}},
		{"no such pool", `"pool": "engraving"`, `"pool": "etching"`, []string{`fleet.json: queues.engraving.pool = "etching": no such pool`}},
		{"other service's pool", `"pool": "engraving"`, `"pool": "spare"`, []string{`queues.engraving.pool = "spare": the pool serves ""`}},
		{"no such service", `{"service": "engraving", "size"`, `{"service": "etching", "size"`, []string{
			`pools.engraving.service = "etching": no such service`,
			`queues.engraving.pool = "engraving": the pool serves "etching"`,
		}},
		{"no spare pool", `, "spare": true`, `, "service": "engraving"`, []string{`pools: exactly one pool must be spare, none is`}},
		{"two spare pools", `"maxSize": 12}`, `"maxSize": 12, "spare": true}`, []string{
			`pools.engraving.service = "engraving": the spare pool has no service`,
			`fleet.json: pools.spare.spare = true: exactly one pool must be spare, engraving is too`,
		}},
		{"open queue without a team", `"depth": 100`, `"depth": 100, "open": true`, []string{`queues.engraving.openTeam = "": no such team`}},
		{"team of a closed queue", `"depth": 100`, `"depth": 100, "openTeam": "vets"`, []string{`queues.engraving.openTeam = "vets": only an open queue may have an open team`}},
		{"no such team", `"team": "vets"`, `"team": "cats"`, []string{`teams.json: keys.vets-1.team = "cats": no such team`}},
		{"secret instead of a hash", hash, `secret`, []string{`teams.json: keys.vets-1.hash = (6 characters): must be a SHA-256`}},
		{"equal secrets instead of hashes", `"keys": {"vets-1": {"team": "vets", "hash": "` + hash, `"keys": {"a": {"team": "vets", "hash": "secret"}, "vets-1": {"team": "vets", "hash": "secret`, []string{
			`teams.json: keys.a.hash = (6 characters): must be a SHA-256`,
			`teams.json: keys.vets-1.hash = (6 characters): must be a SHA-256`,
			`teams.json: keys.vets-1.hash = (6 characters): key a has the same hash`,
		}},
		{"duplicate secret", `"hash": "` + hash + `"`, `"hash": "` + hash + `", "hash": "secret"`, []string{`teams.json: keys.vets-1.hash = (6 characters): duplicate key`}},
		{"equal hashes", `"keys": {`, `"keys": {"a": {"team": "vets", "hash": "` + hash + `"}, `, []string{`teams.json: keys.vets-1.hash = (64 characters): key a has the same hash`}},
		{"share", `"share": 2`, `"share": 0`, []string{`teams.json: teams.vets.share = 0: must be greater than 0`}},
		{"name", `"vets-1"`, `"vets 1"`, []string{`teams.json: keys.vets 1 = "vets 1": a name has`}},
		{"maintenance", `"interval": "504h", "reboot": "5m"`, `"interval": "10m", "reboot": "20m"`, []string{
			`fleet.json: maintenance.interval = "10m0s": must be 0 or at least 1h`,
			`fleet.json: maintenance.reboot = "20m0s": must be less than the interval`,
		}},
		{"deep", `"teams": {`, `"x": ` + strings.Repeat(`{"a":`, 20) + `1` + strings.Repeat(`}`, 20) + `, "teams": {`, []string{`teams.json: nested deeper than 16`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			files := exampleFiles()
			replaced := false
			for i, f := range files {
				text := strings.Replace(string(f.Data), c.old, c.new, 1)
				replaced = replaced || text != string(f.Data)
				files[i].Data = []byte(text)
			}
			is.True(replaced)
			doc, err := Compose(files)
			is.True(err != nil)
			is.True(doc == nil)
			lines := strings.Split(err.Error(), "\n")
			t.Log(err)
			is.Equal(len(lines), len(c.want))
			for i, want := range c.want {
				is.True(strings.Contains(lines[i], want))
			}
		})
	}
}

// Faults of all files and of all stages of decoding are reported together.
func TestComposeReportsAllFilesAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Compose([]File{
		{Name: "a.json", Data: []byte(`{"teams": {"x": {"share": true}, "x": {}}, "other": 1}`)},
		{Name: "b.json", Data: []byte(`{`)},
		{Name: "c.json", Data: []byte(`{"teams": {"x": {}}}`)},
	})
	faults, ok := err.(Faults)
	is.True(ok)
	is.Equal(len(faults), 5)
}

func TestIndexAuthorizes(t *testing.T) {
	is := is.New(t)
	doc := &Document{
		Queues: map[string]Queue{"closed": {}, "open": {Open: true, OpenTeam: "public"}},
		Keys:   map[string]Key{"k": {Team: "vets", Hash: HexKeyHash("s")}, "bad": {Team: "x", Hash: "00"}},
	}
	x := NewIndex(doc)
	cases := []struct {
		queue, secret, team string
		err                 error
	}{
		{"closed", "s", "vets", nil},
		{"closed", "", "", ErrUnauthorized},
		{"closed", "t", "", ErrUnauthorized},
		{"open", "", "public", nil},
		{"open", "s", "vets", nil},
		{"open", "t", "", ErrUnauthorized},
		{"none", "s", "", ErrUnknownQueue},
	}
	for _, c := range cases {
		team, err := x.Authorize(c.queue, NewKeyHash(c.secret))
		is.Equal(team, c.team)
		is.True((err == nil) == (c.err == nil))
		if c.err != nil {
			is.True(strings.Contains(err.Error(), c.err.Error()))
		}
	}
}

// fullSizeDocument returns a document of the largest size that the design
// targets.
func fullSizeDocument() *Document {
	doc := &Document{
		DataCentres: map[string]DataCentre{},
		Services:    map[string]Service{},
		Pools:       map[string]Pool{"spare": {Size: 20, MaxSize: 100, Spare: true}},
		Queues:      map[string]Queue{},
		Teams:       map[string]Team{},
		Keys:        map[string]Key{},
	}
	for i := range 5 {
		doc.DataCentres[fmt.Sprintf("dc%d", i)] = DataCentre{Region: "r", InService: true}
	}
	for i := range 112 {
		name := fmt.Sprintf("service-%03d", i)
		doc.Services[name] = Service{AvailabilityObjective: 0.999, LatencyObjective: Duration(time.Second), DailyBudget: 2}
		doc.Pools[name] = Pool{Service: name, Size: 31, MinSize: 8, MaxSize: 60}
		for j := range 2 {
			queue := fmt.Sprintf("%s-%d", name, j)
			doc.Queues[queue] = Queue{Service: name, Pool: name, RunTime: Duration(time.Minute), MaxBody: 1 << 20, Depth: 100}
		}
	}
	for i := range 430 {
		team := fmt.Sprintf("team-%03d", i)
		doc.Teams[team] = Team{Share: 1, Limit: 60}
		for j := range 3 {
			key := fmt.Sprintf("%s-key-%d", team, j)
			doc.Keys[key] = Key{Team: team, Hash: HexKeyHash(key)}
		}
	}
	return doc
}

func TestDeltaOfOneEntryIsSmall(t *testing.T) {
	const maxBytes = 1024
	is := is.New(t)
	from := fullSizeDocument()
	is.Equal(len(Validate(from)), 0)
	to := from.Apply(Delta{Queues: Changes[Queue]{
		Set: map[string]Queue{"service-000-0": {Service: "service-000", Pool: "service-000", Urgent: true, Open: true, OpenTeam: "team-000"}},
	}})
	delta := Diff(from, to)
	data, err := delta.Encode()
	is.NoErr(err)
	t.Logf("delta of one queue: %d bytes", len(data))
	is.True(len(data) < maxBytes)
	decoded, err := DecodeDelta(data)
	is.NoErr(err)
	is.Equal(from.Apply(decoded).Digest(), to.Digest())
}

// The digest doesn't depend on whether a section is nil or empty, nor on
// whether the document was encoded and decoded.
func TestDigestOfNilAndEmptySectionsIsEqual(t *testing.T) {
	is := is.New(t)
	empty := (&Document{}).Apply(Delta{Teams: Changes[Team]{Delete: []string{"none"}}})
	is.Equal(empty.Digest(), (&Document{}).Digest())
	full := fullSizeDocument()
	data, err := full.Encode()
	is.NoErr(err)
	back, err := DecodeDocument(data)
	is.NoErr(err)
	is.Equal(back.Digest(), full.Digest())
	is.Equal(DigestOf(data), full.Digest())
	is.True(Diff(full, back).IsZero())
}

func TestDecodeDeltaRejectsTrailingDataAndUnknownFields(t *testing.T) {
	is := is.New(t)
	_, err := DecodeDelta([]byte(`{} {}`))
	is.True(err != nil)
	_, err = DecodeDelta([]byte(`{"keys": {"unset": {}}}`))
	is.True(err != nil)
}

func FuzzCompose(f *testing.F) {
	files := exampleFiles()
	f.Add(files[0].Data, files[1].Data)
	f.Add(files[0].Data, files[0].Data)
	f.Add([]byte(`{"pools": {"s": {"spare": true, "maxSize": 1}}}`), []byte(`{}`))
	f.Add([]byte(`{"teams": {"t": {"share": 1e400, "limit": 1e3}}}`), []byte(`[null]`))
	f.Add([]byte(`{"maintenance": {"interval": "9999999h"}, "maintenance": null}`), []byte("\xff{"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		doc, err := Compose([]File{{Name: "a", Data: a}, {Name: "b", Data: b}})
		if err != nil {
			if faults, ok := err.(Faults); !ok || len(faults) == 0 {
				t.Fatalf("error is not a list of faults: %v", err)
			}
			return
		}
		data, err := doc.Encode()
		if err != nil {
			t.Fatalf("valid document doesn't encode: %v", err)
		}
		back, err := Compose([]File{{Name: "c", Data: data}})
		if err != nil || back.Digest() != doc.Digest() {
			t.Fatalf("decoding the canonical form gives another document: %v", err)
		}
	})
}

func FuzzDecodeDelta(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"keys": {"delete": ["a"]}, "teams": {"set": {"t": {"share": 1, "limit": 2}}}}`))
	f.Add([]byte(`{"maintenance": {"interval": "1h", "paused": true}} x`))
	f.Add([]byte(`{"queues": {"set": {"q": {"runTime": 5}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if err != nil {
			return
		}
		again, err := d.Encode()
		if err != nil {
			t.Fatalf("decoded delta doesn't encode: %v", err)
		}
		back, err := DecodeDelta(again)
		if err != nil {
			t.Fatalf("encoded delta doesn't decode: %v", err)
		}
		base := &Document{}
		if base.Apply(d).Digest() != base.Apply(back).Digest() {
			t.Fatal("delta changed after encoding and decoding")
		}
	})
}

func BenchmarkApplyAndDigestFullSize(b *testing.B) {
	doc := fullSizeDocument()
	delta := Delta{Teams: Changes[Team]{Set: map[string]Team{"team-000": {Share: 2, Limit: 9}}}}
	for b.Loop() {
		doc.Apply(delta).Digest()
	}
}

func BenchmarkIndexFullSize(b *testing.B) {
	doc := fullSizeDocument()
	for b.Loop() {
		NewIndex(doc)
	}
}

// A request without a key must not be admitted to a queue that isn't open, whatever hashes
// the configuration holds: a hash of 64 zeros passes validation, and stood for no key.
func TestKeyHashOfZerosAdmitsNobody(t *testing.T) {
	is := is.New(t)
	doc := &Document{
		Queues: map[string]Queue{"q": {}},
		Teams:  map[string]Team{"vets": {}},
		Keys:   map[string]Key{"zeros": {Team: "vets", Hash: KeyHash{}.String()}},
	}
	_, err := NewIndex(doc).Authorize("q", NewKeyHash(""))
	is.Equal(err, ErrUnauthorized)
}
