package store

// Limits are the store's limits on records, in bytes.
type Limits struct {
	// Record bounds a record: its key and value, and the length of the key.
	Record int
	// Append bounds the records of one append together.
	Append int
}

// Bytes per record beside its key and value.
const (
	keyLengthBytes    = 1
	recordLengthBytes = 4
)

// Size returns what counts of a record towards Limits.Record.
func (r Record) Size() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// MaxValue returns how long the value of a record with a key may be.
func (l Limits) MaxValue(key string) int { return l.Record - keyLengthBytes - len(key) }

// AppendSize returns what counts of records towards Limits.Append.
func AppendSize(records []Record) int {
	size := 0
	for _, r := range records {
		size += recordLengthBytes + r.Size()
	}
	return size
}

// Split divides records, in order, into as few appends as the limits allow. A record
// that is over them is an append of its own, which the store will refuse.
func (l Limits) Split(records []Record) [][]Record {
	var out [][]Record
	begin, size := 0, 0
	for i, r := range records {
		size += recordLengthBytes + r.Size()
		if size > l.Append && i > begin {
			out = append(out, records[begin:i])
			begin, size = i, recordLengthBytes+r.Size()
		}
	}
	if begin < len(records) {
		out = append(out, records[begin:])
	}
	return out
}
