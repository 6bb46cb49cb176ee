package leverconfig_test

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/matryer/is"
)

func TestDocumentChecks(t *testing.T) {
	cases := map[string]struct{ doc, want string }{
		"empty":              {`{}`, ""},
		"one service":        {`{"services": {"a": {"least-coverage": 1}}}`, ""},
		"not JSON":           {`{`, "unexpected EOF"},
		"second document":    {`{} {}`, "text after byte"},
		"rest of a document": {`{}}`, "text after byte"},
		"unknown section":    {`{"servces": {}}`, "servces"},
		"unknown key":        {`{"services": {"a": {"least-covrage": 1}}}`, "services.a.least-covrage: unknown key"},
		"out of bounds":      {`{"defaults": {"least-coverage": 2}}`, "defaults.least-coverage"},
		"not a number":       {`{"defaults": {"least-coverage": "much"}}`, "defaults.least-coverage"},
		"floors beyond sum":  {`{"defaults": {"floor-urgent": 0.7, "floor-routine": 0.2, "floor-bulk": 0.2}}`, "sum of floors"},
		"unknown choice":     {`{"defaults": {"on-short": "all"}}`, "defaults.on-short"},
		"retired keys":       {`{"defaults": {"retry-part": 0.2}, "system": {"watchers": 3}}`, ""},
		"deadlines":          {`{"defaults": {"default-deadline-ms": 20000}}`, "default-deadline-ms"},
		"shortest claims":    {`{"system": {"claim-keep-s": 180}, "defaults": {"max-deadline-ms": 60000}}`, ""},
		"section not object": {`{"system": 3}`, "system"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := leverconfig.ParseDocument([]byte(c.doc))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// TestDefaultsAreWithinBounds sets every service setting to its default and
// expects a valid document, equal to the empty one.
func TestDefaultsAreWithinBounds(t *testing.T) {
	is := is.New(t)
	doc := `{"defaults": {`
	for i, s := range leverconfig.ServiceSettings {
		if i > 0 {
			doc += ","
		}
		value := s.Default
		if s.Choices != nil {
			value = strconv.Quote(value)
		}
		doc += strconv.Quote(s.Key) + ":" + value
		is.True(s.Doc != "")
	}
	parsed, err := leverconfig.ParseDocument([]byte(doc + "}}"))
	is.NoErr(err)
	plain, err := leverconfig.ParseDocument([]byte("{}"))
	is.NoErr(err)
	is.Equal(parsed, plain)
}

func TestApply(t *testing.T) {
	is := is.New(t)
	var s leverconfig.Stored
	now := time.Unix(0, 0)
	next, err := s.Apply(&leverconfig.Patch{ID: "a", Merge: json.RawMessage(`{"services": {"x": {"on-short": "answer"}}}`)}, now)
	is.NoErr(err)
	is.Equal(next.Version, leverid.ConfigVersion(1))
	_, err = next.Apply(&leverconfig.Patch{ID: "b", Merge: json.RawMessage(`{}`)}, now)
	is.True(errors.Is(err, leverconfig.ErrBaseMismatch))
	_, err = next.Apply(&leverconfig.Patch{ID: "b", Base: 1, Merge: json.RawMessage(`[]`)}, now)
	is.True(err != nil)
	_, err = next.Apply(&leverconfig.Patch{ID: "b", Base: 1, Merge: json.RawMessage(`null`)}, now)
	is.True(err != nil) // would reset all settings
	_, err = next.Apply(&leverconfig.Patch{Base: 1, Merge: json.RawMessage(`{}`)}, now)
	is.True(err != nil) // no id
	removed, err := next.Apply(&leverconfig.Patch{ID: "c", Base: 1, Merge: json.RawMessage(`{"services": {"x": null}}`)}, now)
	is.NoErr(err)
	is.Equal(string(removed.Document), `{"services":{}}`)
	a, ok := removed.Find("a")
	is.True(ok && a.Version == 1)
	is.Equal(next.Version, leverid.ConfigVersion(1)) // unchanged
}

// FuzzPatch applies arbitrary bytes as a patch: the result must be valid or an
// error returned, and the base must not change.
func FuzzPatch(f *testing.F) {
	f.Add(`{"services": {"x": {"on-short": "answer"}}}`)
	f.Add(`{"defaults": null}`)
	f.Add(`{"system": {"extra-part": 0.2}, "defaults": {"least-coverage": 0.5}}`)
	f.Add(`[1]`)
	f.Fuzz(func(t *testing.T, merge string) {
		base := &leverconfig.Stored{Version: 3, Document: json.RawMessage(`{"defaults":{"retry-part":0.2}}`)}
		before, err := base.Encode()
		if err != nil {
			t.Fatal(err)
		}
		next, err := base.Apply(&leverconfig.Patch{ID: "p", Base: 3, Merge: json.RawMessage(merge)}, time.Unix(0, 0))
		after, _ := base.Encode()
		if string(before) != string(after) {
			t.Fatal("the base was changed")
		}
		if err != nil {
			return
		}
		raw, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := leverconfig.ParseStored(raw)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := again.Check(); err != nil {
			t.Fatalf("an accepted document is not valid: %v", err)
		}
	})
}
