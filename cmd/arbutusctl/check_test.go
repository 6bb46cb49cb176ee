package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arbutuslever.dev/lever/platform/standin"

	"github.com/matryer/is"
)

// TestConfigCheck guards against exit codes by which CI would take a check that wasn't
// made, or that found errors, for one without.
func TestConfigCheck(t *testing.T) {
	const newer = `{"version":4,"tenants":[{"name":"o","apiKeys":["key-of-o"]}]}`
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	var empty, down, noSpec, live standin.Store
	down.SetDown(true)
	noSpec.PutVerbatim("config", "main", `{"meta":{"name":"main"}}`)
	is.New(t).NoErr(live.Put("config", "main", json.RawMessage(`{"version":3,"tenants":[{"name":"o","apiKeys":["key-of-o-1"]}]}`)))
	good, old := file("good", newer), file("old", `{"version":3}`)
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"good":              {[]string{good}, exitOK, "0 errors, 0 warnings, 0 changes"},
		"JSON":              {[]string{good, "--json"}, exitOK, `"findings": []`},
		"error":             {[]string{file("bad", "{\n\"version\":\"4\"}")}, exitFindings, "line 2: error: version"},
		"not JSON":          {[]string{file("cut", newer[:40])}, exitFindings, "can't be read"},
		"empty object":      {[]string{file("empty", `{}`)}, exitFindings, "version: is missing"},
		"newer":             {[]string{good, "--against", old}, exitOK, `organisation "o" is added, keys added: 1`},
		"not newer":         {[]string{old, "--against", good}, exitFindings, "3 is not newer than the one in force, 4"},
		"live":              {[]string{good, "--against", "live", "--store", serve(&live)}, exitOK, "keys added: 1, keys removed: 1"},
		"no file":           {nil, exitNotChecked, "FILE is missing"},
		"file is missing":   {[]string{filepath.Join(dir, "none")}, exitNotChecked, "none"},
		"unknown option":    {[]string{good, "--agianst", old}, exitNotChecked, "agianst"},
		"empty option":      {[]string{good, "--against", ""}, exitNotChecked, ""},
		"unreadable before": {[]string{good, "--against", file("before", newer[:40])}, exitNotChecked, "in force"},
		"no store":          {[]string{good, "--against", "live"}, exitNotChecked, "--store"},
		"store alone":       {[]string{good, "--store", "127.0.0.1:1"}, exitNotChecked, "--against"},
		"store unreachable": {[]string{good, "--against", "live", "--store", "127.0.0.1:1"}, exitNotChecked, "refused"},
		"store down":        {[]string{good, "--against", "live", "--store", serve(&down)}, exitNotChecked, "503"},
		"store empty":       {[]string{good, "--against", "live", "--store", serve(&empty)}, exitNotChecked, "not found"},
		"no spec in force":  {[]string{good, "--against", "live", "--store", serve(&noSpec)}, exitNotChecked, "not found"},
		// A patch of the native API is for a VM.
		"patch": {[]string{file("patch", "// comment\n{\"services\":{\"s\":{\"least-coverage\":1}}}"), "--vm", "127.0.0.1:1"}, exitUnavailable, "no VM answers"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			is.New(t).Equal(run(append([]string{"config", "check"}, c.args...), &out, &errOut), c.code)
			if text := out.String() + errOut.String(); !strings.Contains(text, c.want) || strings.Contains(text, "key-of-") {
				t.Errorf("output %q; want %q, and no key", text, c.want)
			}
		})
	}
	is.New(t).Equal(live.Calls(), 1)
}
