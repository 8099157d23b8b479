package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/result"
)

// The table in docs/RESULT_CODES.md must have exactly one row per code, with the same values as the table in the code.
func TestResultCodesPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/RESULT_CODES.md")
	is.NoErr(err)
	rows := strings.Count(string(page), "\n| ") - 1 // The header of the table also matches.
	is.Equal(rows, len(result.Codes()))
	for _, code := range result.Codes() {
		info, ok := result.Lookup(code)
		is.True(ok)
		row := fmt.Sprintf("| %d | `%s` | %s | %t | %d | %d |\n", code, info.Name, info.Text, info.NotRun, info.Status, info.Exit)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/RESULT_CODES.md has no row %q", row)
		}
	}
}
