package process

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/operator"
)

// docs/OPERATING.md must explain every result code, retry reason, log prefix and variable.
func TestOperatingPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATING.md")
	is.NoErr(err)
	var names []string
	for _, code := range result.Codes() {
		info, _ := result.Lookup(code)
		names = append(names, info.Name)
	}
	for _, reason := range retryReasons {
		names = append(names, string(reason))
	}
	for _, prefix := range operator.Prefixes() {
		names = append(names, string(prefix)+":")
	}
	for _, group := range operator.Groups() {
		names = append(names, string(group))
	}
	for name := range (&Process{}).gauges() {
		names = append(names, name)
	}
	for _, name := range names {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATING.md does not explain %s", name)
		}
	}
}
