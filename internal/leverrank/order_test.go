package leverrank_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"
)

// TestOrder lets calls wait that arrive in the given order, and sends them all. It
// guards against an organisation that waits for all calls of another one, and against a
// changed order without organisations.
func TestOrder(t *testing.T) {
	flow := func(organisation string, weight, work float64) leverrank.Flow {
		return leverrank.Flow{Organisation: leverid.OrganisationID(organisation), Weight: weight, Work: work}
	}
	a, b := flow("a", 1, 0.01), flow("b", 1, 0.01)
	heavy, costly, cheap := flow("h", 3, 0.01), flow("c", 1, 0.03), flow("d", 0, 0.01)
	cases := map[string]struct {
		flows []leverrank.Flow
		want  string
	}{
		"no organisations":         {[]leverrank.Flow{{Work: 0.3}, {Work: 0.1}, {}, {Work: 0.2}}, "-0 -1 -2 -3"},
		"one organisation":         {[]leverrank.Flow{a, a, flow("a", 1, 0.5), a}, "a0 a1 a2 a3"},
		"a flood":                  {[]leverrank.Flow{a, a, a, a, a, b, b}, "a0 b5 a1 b6 a2 a3 a4"},
		"by weight":                {[]leverrank.Flow{heavy, heavy, heavy, heavy, heavy, a, a}, "h0 a5 h1 h2 h3 a6 h4"},
		"by cost":                  {[]leverrank.Flow{costly, costly, costly, a, a, a, a}, "c0 a3 a4 a5 c1 a6 c2"},
		"weight of others":         {[]leverrank.Flow{a, a, a, cheap, cheap}, "a0 d3 a1 d4 a2"},
		"without one, beside some": {[]leverrank.Flow{a, a, a, {Work: 0.01}, {Work: 0.01}}, "a0 -3 a1 -4 a2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var o leverrank.Order
			type call struct {
				name     string
				position float64
			}
			var calls []call
			for i, f := range c.flows {
				calls = append(calls, call{fmt.Sprintf("%s%d", cmp.Or(f.Organisation, "-"), i), o.Add(f)})
			}
			slices.SortStableFunc(calls, func(x, y call) int { return cmp.Compare(x.position, y.position) })
			var got []string
			for _, x := range calls {
				o.Sent(x.position)
				got = append(got, x.name)
			}
			if s := strings.Join(got, " "); s != c.want {
				t.Errorf("sent %s, want %s", s, c.want)
			}
		})
	}
}

// TestOrderForgetsThePast guards against an organisation that is sent last for what it
// used long ago, and one that saves what it has not used.
func TestOrderForgetsThePast(t *testing.T) {
	var o leverrank.Order
	first := o.Add(leverrank.Flow{Organisation: "a", Work: 1})
	for range 100 {
		o.Sent(o.Add(leverrank.Flow{Organisation: "b", Work: 0.1}))
	}
	idle, busy := o.Add(leverrank.Flow{Organisation: "c", Work: 1}), o.Add(leverrank.Flow{Organisation: "b", Work: 1})
	if first > idle || busy-idle > 0.11 {
		t.Errorf("positions %g, %g and %g of a waiting, an idle and a busy organisation", first, idle, busy)
	}
}
