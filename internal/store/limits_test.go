package store

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against appends that the store refuses for their size.
func TestSplitKeepsOrderAndLimits(t *testing.T) {
	is := is.New(t)
	l := Limits{Record: 100, Append: 100}
	records := []Record{
		{Key: "a", Value: make([]byte, 50)},
		{Key: "b", Value: make([]byte, 30)},
		{Key: "c", Value: make([]byte, 60)},
		{Key: "d", Value: make([]byte, 200)},
		{Key: "e"},
	}
	var keys []string
	for _, part := range l.Split(records) {
		text := ""
		for _, r := range part {
			text += r.Key
		}
		keys = append(keys, text)
		is.True(AppendSize(part) <= l.Append || len(part) == 1)
	}
	is.Equal(keys, []string{"ab", "c", "d", "e"})
	is.Equal(len(l.Split(nil)), 0)
	is.Equal(l.MaxValue("key"), 96)
}
