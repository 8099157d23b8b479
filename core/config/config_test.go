package config_test

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
)

const sample = `environment = "trial"

[[data_centres]]
name = "khomas-1"
region = "khomas"

[[pools]]
name = "chat"
kind = "engine"
model = "small"
queue_timeout = "10s"

[[pools]]
name = "tickets"
kind = "service"

[[endpoints]]
name = "engine-1"
pool = "chat"
data_centre = "khomas-1"
address = "192.0.2.1:8000"
warm_limit = 8
cold_limit = 2

[[routes]]
path = "/v1/chat/completions"
idempotent = true

[[routes]]
path = "/charge"
pool = "tickets"

[[teams]]
name = "kiosks"
share = 3
key_hashes = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
`

func TestParse(t *testing.T) {
	is := is.New(t)
	doc, err := config.Parse([]byte(sample))
	is.NoErr(err)
	is.Equal(doc.Pools[0].QueueTimeout, 10*time.Second)
	is.Equal(doc.Pools[1].QueueTimeout, config.DefaultQueueTimeout)
	is.Equal(doc.Pools[0].QueueLimit, 100)
	is.Equal(doc.Pools[0].LongestRequest, 5*time.Minute)
	is.Equal(doc.Pools[0].LargestCost, int64(8192))
	is.Equal(doc.Pools[0].WarmUpRequests, 20)
	is.Equal(doc.Endpoints[0].Address.String(), "192.0.2.1:8000")
	is.True(doc.Routes[0].Idempotent)
	is.Equal(doc.Teams[0].Share, 3)
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `share = 3`, `share = 3` + "\n" + `weight = 2`, `line 36: teams.weight: found weight; allowed: one of the keys name, share, key_hashes`},
		{"unknown table", `[[teams]]`, `[[tenants]]`, `line 33: tenants: found tenants; allowed: [[teams]]`},
		{"plain table", `[[teams]]`, `[teams]`, `line 33: teams: found teams; allowed: [[teams]]`},
		{"range", `share = 3`, `share = 0`, `line 35: teams.share: found 0; allowed: a whole number from 1 to 1000000`},
		{"type", `share = 3`, `share = "3"`, `line 35: teams.share: found "3"; allowed: a whole number`},
		{"duration", `"10s"`, `10`, `line 11: pools.queue_timeout: found 10; allowed: a duration`},
		{"missing", `region = "khomas"`, ``, `line 3: data_centres.region: found nothing; allowed:`},
		{"twice", `share = 3`, "share = 3\nshare = 4", `line 36: teams.share: found share; allowed: each key once a table`},
		{"unknown pool", `pool = "chat"`, `pool = "chats"`, `line 19: endpoints.pool: found "chats"; allowed: the name of one of the pools`},
		{"unknown data centre", `data_centre = "khomas-1"`, `data_centre = "x"`, `line 20: endpoints.data_centre: found "x"; allowed: the name of one of the data_centres`},
		{"host name", `192.0.2.1:8000`, `localhost:8000`, `line 21: endpoints.address: found "localhost:8000"; allowed: an IP number and port`},
		{"cold above warm", `cold_limit = 2`, `cold_limit = 9`, `line 23: endpoints.cold_limit: found 9; allowed: at most the endpoint's warm_limit`},
		{"no model", `model = "small"`, ``, `line 7: pools.model: found nothing; allowed: the model`},
		{"upper-case hash", `9f86`, `9F86`, `line 36: teams.key_hashes: found ["9F86`},
		{"syntax", `share = 3`, `share = `, `line 35: document: found`},
		{"path", `"/charge"`, `"charge"`, `line 30: routes.path: found "charge"`},
		{"no environment", `environment = "trial"`, ``, `line 1: environment: found nothing`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(sample, c.old, c.new, 1)
			_, err := config.Parse([]byte(text))
			var all config.Errors
			is.True(errors.As(err, &all))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
}

func TestParseListsAllErrors(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("share = 3", "share = 0", "cold_limit = 2", "cold_limit = 0").Replace(sample)
	_, err := config.Parse([]byte(text))
	var all config.Errors
	is.True(errors.As(err, &all))
	is.Equal(len(all), 2)
	is.True(all[0].Line < all[1].Line)
}

// largeDocument returns the sample document with that many more teams and endpoints.
func largeDocument(teams, endpoints int) *config.Document {
	doc, err := config.Parse([]byte(sample))
	if err != nil {
		panic(err)
	}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		hash := fmt.Sprintf("%064x", i+1)
		doc.Teams = append(doc.Teams, config.Team{Name: name, Share: 1 + i%7, KeyHashes: []string{hash}})
	}
	for i := range endpoints {
		e := doc.Endpoints[0]
		e.Name = fmt.Sprintf("engine-x%04d", i)
		e.Address = netip.AddrPortFrom(e.Address.Addr(), uint16(10000+i))
		doc.Endpoints = append(doc.Endpoints, e)
	}
	return doc
}

func TestSplitJoin(t *testing.T) {
	is := is.New(t)
	doc := largeDocument(12_000, 1_200)
	root, parts := config.Split(doc)
	root.Generation = 7
	total, largest := 0, 0
	for _, part := range parts {
		total += len(part)
		largest = max(largest, len(part))
	}
	t.Logf("%d parts, %d bytes, largest %d, root %d", len(parts), total, largest, len(root.Encode()))
	is.True(total > 1<<20) // The document must be too large for one value of the platform.
	is.True(largest <= config.MaxPart)
	is.True(len(root.Encode()) < 1<<20)

	again, err := config.ParseRoot(root.Encode())
	is.NoErr(err)
	joined, err := config.Join(again, parts)
	is.NoErr(err)
	is.Equal(string(config.Encode(joined)), string(config.Encode(doc)))
	reparsed, err := config.Parse(config.Encode(doc))
	is.NoErr(err)
	is.Equal(reparsed, joined)

	t.Run("a change of one team rewrites one leaf and its index", func(t *testing.T) {
		is := is.New(t)
		joined.Teams[100].Share = 99
		_, changed := config.Split(joined)
		fresh := 0
		for hash := range changed {
			if _, old := parts[hash]; !old {
				fresh++
			}
		}
		is.Equal(fresh, 2) // The leaf and its index are rewritten.
	})
	t.Run("missing and corrupt parts", func(t *testing.T) {
		is := is.New(t)
		first, second := root.Parts[0], root.Parts[1]
		leaf := config.Leaves(parts[second])[0]
		for _, hash := range []string{first, leaf} {
			var bad *config.PartError
			broken := maps.Clone(parts)
			delete(broken, hash)
			_, err := config.Join(root, broken)
			is.True(errors.As(err, &bad) && bad.Missing && bad.Hash == hash)
			broken[hash] = parts[second]
			_, err = config.Join(root, broken)
			is.True(errors.As(err, &bad) && !bad.Missing && bad.Hash == hash)
		}
	})
}

func BenchmarkJoin(b *testing.B) {
	root, parts := config.Split(largeDocument(12_000, 1_200))
	for b.Loop() {
		if _, err := config.Join(root, parts); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzParse checks that a document which Parse accepts is unchanged after Encode and Parse.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("environment = \"x\"\n[[teams]]\nname = \"a\"\nshare = 1_0")
	f.Add("[[teams]]\nkey_hashes = [\n# none\n]\n[teams.x]\n")
	f.Add("environment = '''x'''\n[[routes]]\npath = \"/\\u00e9\"")
	f.Add("a.b = 1\n\"\" = {x = [1, {y = 2}]}\n[[pools]]\nqueue_timeout = 1979-05-27\n= 3")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := config.Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := config.Parse(config.Encode(doc))
		if err != nil || string(config.Encode(doc)) != string(config.Encode(again)) {
			t.Errorf("%q parses as %+v, and as %+v after encoding: %v", text, doc, again, err)
		}
	})
}

// TestDocumentPage checks that the sample in docs/DOCUMENT.md is valid and that the page has a row for each key of each table.
func TestDocumentPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/DOCUMENT.md")
	is.NoErr(err)
	page := string(data)
	var sample strings.Builder
	for line := range strings.Lines(page) {
		if code, found := strings.CutPrefix(line, "    "); found && !strings.HasPrefix(code, "printf") {
			sample.WriteString(code)
		}
	}
	_, err = config.Parse([]byte(sample.String()))
	is.NoErr(err)
	rows := 0
	for _, table := range []string{"", "teams", "data_centres", "pools", "endpoints", "routes"} {
		for _, key := range keysOf(t, table) {
			rows++
			row := strings.ReplaceAll(fmt.Sprintf("| `%s` | `%s` | ", table, key), "| `` |", "| |")
			if !strings.Contains(page, row) {
				t.Errorf("docs/DOCUMENT.md lacks the row %s", row)
			}
		}
	}
	is.Equal(strings.Count(page, "` | `")+1, rows) // The row of the top-level key environment has an empty table column, so the count misses it.
}

// keysOf returns the keys of a table, taken from the error that an unknown key causes.
func keysOf(t *testing.T, table string) []string {
	is := is.New(t)
	text := "unknown = 1\n"
	if table != "" {
		text = "[[" + table + "]]\n" + text
	}
	_, err := config.Parse([]byte(text))
	var all config.Errors
	is.True(errors.As(err, &all))
	for _, one := range all {
		if list, found := strings.CutPrefix(one.Allowed, "one of the keys "); found {
			return strings.Split(list, ", ")
		}
	}
	t.Errorf("no keys of %q in %v", table, all)
	return nil
}
