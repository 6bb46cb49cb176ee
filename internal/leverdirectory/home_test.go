package leverdirectory_test

import (
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"

	"github.com/matryer/is"
)

// TestHomes guards against a request that is processed in a region which the route or the
// organisation does not allow, or in one that is not known, and against limits where
// neither has any.
func TestHomes(t *testing.T) {
	type homes = leverdirectory.Homes
	cases := map[string]struct {
		a, b homes
		// allowed are the regions, of "x", "y", "z" and "", that both allow.
		allowed string
	}{
		"none":            {nil, nil, "xyz?"},
		"one":             {homes{"x"}, nil, "x"},
		"other":           {nil, homes{"y", "z"}, "yz"},
		"both":            {homes{"x", "y"}, homes{"y", "z"}, "y"},
		"nothing common":  {homes{"x"}, homes{"y"}, ""},
		"empty list":      {leverdirectory.NewHomes(homes{}), nil, "xyz?"},
		"unnamed region":  {leverdirectory.NewHomes(homes{""}), nil, ""},
		"a region twice":  {homes{"x", "x"}, homes{"x"}, "x"},
		"none left, then": {homes{"x"}.And(homes{"y"}), homes{"x"}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, h := range []homes{c.a.And(c.b), c.b.And(c.a)} {
				allowed := ""
				for _, r := range []string{"x", "y", "z"} {
					if h.Allow(leverdirectory.Homes{"x", "y", "z"}[r[0]-'x']) {
						allowed += r
					}
				}
				if h.Allow("") {
					allowed += "?"
				}
				is.Equal(allowed, c.allowed)
			}
		})
	}
}
