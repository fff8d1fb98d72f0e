package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCodesAreDocumented checks that the table in docs/API.md lists each code
// with its status, and no other code.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	is.NoErr(err)
	rows := 0
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) == 5 && strings.HasPrefix(cells[1], " `") && len(strings.TrimSpace(cells[2])) == 3 {
			rows++
		}
	}
	is.Equal(rows, len(errorResponses))
	for code, response := range errorResponses {
		row := fmt.Sprintf("| `%s` | %d |", code, response.status)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md lacks %s", row)
		}
	}
}
