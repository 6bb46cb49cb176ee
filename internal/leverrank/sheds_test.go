package leverrank_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/matryer/is"
)

// TestSheds has upstreams decline one of ten requests. It guards against a limit that
// falls to nothing because one upstream declines all of its requests for reasons other
// than load, and against no limit if several decline them.
func TestSheds(t *testing.T) {
	cases := map[string]struct {
		// upstreams decline in turn, every of their requests.
		upstreams []leverid.UpstreamID
		lost      bool
		limited   bool
	}{
		"one":                          {[]leverid.UpstreamID{"u"}, true, false},
		"two":                          {[]leverid.UpstreamID{"u", "v"}, true, true},
		"two, done by another at once": {[]leverid.UpstreamID{"u", "v"}, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l leverrank.Limiter
			now, refused := time.Unix(1000, 0), 0
			for i := range 5000 {
				now = now.Add(time.Millisecond)
				if !l.Admit(leverid.Routine, 0.001, now) {
					refused++
					continue
				}
				if i%10 == 0 {
					l.ObserveShed("s", c.upstreams[i/10%len(c.upstreams)], c.lost, now)
					continue
				}
				l.Observe(0, 1, 0.001, false, now)
			}
			is.Equal(refused > 100, c.limited)
		})
	}
}
