package leverexplain_test

import (
	"bytes"
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/leverexplain"

	"github.com/matryer/is"
)

// TestOrganisations guards against requests of organisations that are refused and whose
// cause is not named.
func TestOrganisations(t *testing.T) {
	const prefix = `time=2026-12-06T16:07:44Z vm=vm1 level=info msg="engine: `
	cases := map[string]struct{ line, cause, summary string }{
		"unauthorized": {
			`a request can't be routed" id=r verdict=unauthorized host=h path=/a/ config=7 upstreams-known=true current=true reason="no known key"`,
			"no organisation of configuration 7 has the caller's key", "unauthorized  no known key",
		},
		"over its allowance": {
			`a request exceeds an allowance" id=r verdict=over-allowance route=a rank=bulk organisation=acme config=7 retry-after=400ms reason="no tokens"`,
			"organisation acme has used up its allowance: no tokens; there is capacity after 400ms", "bulk  over-allowance  no tokens, organisation acme",
		},
		"undecided": {
			`a request exceeds an allowance" id=r verdict=not-run route=a rank=bulk organisation=acme config=7 retry-after=400ms reason="no manager"`,
			"it was refused before it ran: no manager", "bulk  not-run  no manager, organisation acme",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trace, summary := &leverexplain.Trace{ID: "r"}, &leverexplain.Summary{}
			is.NoErr(leverexplain.Read(strings.NewReader(prefix+c.line+"\n"), func(l *leverexplain.Line) {
				trace.Add(l)
				summary.Add(l)
			}))
			is.True(strings.Contains(trace.Cause(), c.cause))
			var b bytes.Buffer
			is.NoErr(summary.Write(&b))
			is.True(strings.Contains(strings.Join(strings.Fields(b.String()), " "), strings.Join(strings.Fields(c.summary), " ")))
		})
	}
}
