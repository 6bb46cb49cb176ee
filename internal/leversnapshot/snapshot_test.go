package leversnapshot_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed of rapid so that runs are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// index returns an index object with the given versions.
func index(t fataler, versions ...int) *leversnapshot.Index {
	var maps []string
	for _, v := range versions {
		maps = append(maps, fmt.Sprintf(`{"version": %d, "shards": [{"replicas": ["u"]}]}`, v))
	}
	x, err := leversnapshot.ParseIndex([]byte(`{"service": "s", "upstreams": [{"id": "u", "address": "a", "slots": 1,
		"connections": 1}], "maps": [` + strings.Join(maps, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// fataler is the part of testing.TB that index uses.
type fataler interface{ Fatal(args ...any) }

// TestRestartIsInEveryRange compares the version that Restart selects with a
// linear search for the newest version that all upstreams have.
func TestRestartIsInEveryRange(t *testing.T) {
	x := index(t, 2, 3, 5, 7, 8, 9)
	rapid.Check(t, func(t *rapid.T) {
		pinned := leverid.IndexVersion(rapid.SampledFrom([]int{2, 3, 5, 7, 8, 9}).Draw(t, "pinned"))
		var w leversnapshot.VersionRange
		type reported struct{ oldest, newest leverid.IndexVersion }
		var reports []reported
		for range rapid.IntRange(1, 5).Draw(t, "upstreams") {
			s := reported{
				leverid.IndexVersion(rapid.IntRange(0, 9).Draw(t, "oldest")),
				leverid.IndexVersion(rapid.IntRange(0, 10).Draw(t, "newest")),
			}
			reports = append(reports, s)
			w.Intersect(s.oldest, s.newest)
		}
		want := leverid.IndexVersion(0)
		for _, m := range x.Maps {
			ok := m.Version != pinned
			for _, s := range reports {
				ok = ok && m.Version >= s.oldest && (s.newest == 0 || m.Version <= s.newest)
			}
			if ok {
				want = m.Version
			}
		}
		got, found := w.Restart(x, pinned)
		if found != (want != 0) || got.Version != want {
			t.Fatalf("restart at %d, want %d of %v, pinned %d", got.Version, want, reports, pinned)
		}
	})
}

func TestDirectory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d leversnapshot.Directory
	_, err := d.Pin("s", 0, now)
	is.True(err != nil)
	is.True(d.Set(index(t, 6, 7)))
	is.True(!d.Set(index(t, 5))) // older than the installed index
	p, err := d.Pin("s", 0, now)
	is.NoErr(err)
	is.Equal(p.Map.Version, leverid.IndexVersion(7))
	p, err = d.Pin("s", 6, now)
	is.NoErr(err)
	is.Equal(p.Map.Version, leverid.IndexVersion(6))
	_, err = d.Pin("s", 4, now)
	is.True(err != nil)
	d.Demote("s", 6, now)
	p, _ = d.Pin("s", 0, now)
	is.Equal(p.Map.Version, leverid.IndexVersion(6))
	p, _ = d.Pin("s", 0, now.Add(2*time.Second))
	is.Equal(p.Map.Version, leverid.IndexVersion(7)) // the demotion has expired
}

func TestIndexValidation(t *testing.T) {
	const good = `{"service": "s", "upstreams": [{"id": "u", "address": "a", "slots": 1, "connections": 1}],
		"maps": [{"version": 1, "shards": [{"replicas": ["u"]}]}]}`
	cases := map[string]struct{ from, to, want string }{
		"empty service":    {`"s"`, `""`, "service"},
		"empty address":    {`"address": "a"`, `"address": ""`, "address"},
		"no slots":         {`"slots": 1`, `"slots": 0`, "slots 0"},
		"unknown upstream": {`["u"]`, `["x"]`, `unknown upstream "x"`},
		"no replicas":      {`["u"]`, `[]`, "0 replicas"},
		"version zero":     {`"version": 1`, `"version": 0`, "version 0"},
		"not JSON":         {`"maps"`, `maps`, "index object"},
	}
	_, err := leversnapshot.ParseIndex([]byte(good))
	is.New(t).NoErr(err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := leversnapshot.ParseIndex([]byte(strings.Replace(good, c.from, c.to, 1)))
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v does not contain %q", err, c.want)
			}
		})
	}
}
