package process

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/operator"
)

// TestOperatingPage checks that docs/OPERATING.md explains every result code, retry reason, log prefix and variable.
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

// TestProofsPage checks that each test named in docs/PROOFS.md exists in one of the packages of its row.
func TestProofsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/PROOFS.md")
	is.NoErr(err)
	name := regexp.MustCompile("`(Test[A-Za-z]+)`")
	for row := range strings.Lines(string(page)) {
		cells := strings.Split(row, "|")
		if len(cells) < 6 {
			continue
		}
		code := testCode(t, strings.Split(cells[4], ","))
		for _, found := range name.FindAllStringSubmatch(cells[3], -1) {
			if !strings.Contains(code, "func "+found[1]+"(t *testing.T)") {
				t.Errorf("docs/PROOFS.md names test %s, which is not in%s", found[1], cells[4])
			}
		}
	}
}

// testCode returns the joined source of all test files of the given packages.
func testCode(t *testing.T, packages []string) string {
	t.Helper()
	var code strings.Builder
	for _, one := range packages {
		files, err := filepath.Glob(filepath.Join("../..", strings.TrimSpace(one), "*_test.go"))
		is.New(t).NoErr(err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			code.Write(text)
		}
	}
	return code.String()
}
