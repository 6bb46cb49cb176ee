package leversettings_test

import (
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/leversettings"

	"github.com/matryer/is"
)

const valid = `{
  // A VM of a trial.
  "vm": "vm-1", "failure-domain": "taoyuan",
  "caller-listen": "127.0.0.1:8101", "peer-listen": "127.0.0.1:8102",
  "platform": "http://127.0.0.1:7000",
  "peer-keys": ["0123456789abcdef"], "operator-keys": ["0123456789abcdef"],
}`

func TestVMSettings(t *testing.T) {
	change := func(from, to string) string { return strings.Replace(valid, from, to, 1) }
	cases := map[string]struct{ text, want string }{
		"valid":           {valid, ""},
		"unknown key":     {change(`"vm":`, `"vn":`), `vm.json:3: unknown key "vn"`},
		"wrong type":      {change(`"vm-1"`, `7`), "vm.json:3: vm: got number, want"},
		"syntax":          {change(`"taoyuan",`, `"taoyuan"`), "line 4"},
		"no name":         {change(`"vm-1"`, `""`), "vm.json: vm: empty value"},
		"host name":       {change("127.0.0.1:8101", "localhost:8101"), "caller-listen"},
		"no port":         {change("127.0.0.1:8102", "127.0.0.1"), "peer-listen"},
		"beyond loopback": {change("127.0.0.1:8102", "0.0.0.0:8102"), "beyond loopback without tls"},
		"platform":        {change("http://127.0.0.1:7000", "nowhere"), "platform"},
		"short key":       {change("0123456789abcdef", "0123"), "peer-keys"},
		"three keys":      {change(`["0123456789abcdef"]`, `["0123456789abcdef", "0123456789abcdeg", "0123456789abcdeh"]`), "peer-keys"},
		"log level":       {change(`"platform":`, `"log-level": "loud", "platform":`), "log-level"},
		"upstream connections": {
			change(`"platform":`, `"upstream-connections": 0, "platform":`), "upstream-connections",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := leversettings.DefaultVM()
			err := leversettings.Parse("vm.json", []byte(c.text), &s)
			if err == nil {
				err = s.Check("vm.json")
			}
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v does not say %q", err, c.want)
			}
		})
	}
}
