package levertrial_test

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/levertrial"

	"github.com/matryer/is"
)

var controlSizes = flag.String("control", "", "sizes to measure as VMs x services, like 7x50,70x50; none by default")

// TestControlSlopes prints the cost of configuration distribution by fleet
// size. scripts/slopes.sh runs it.
func TestControlSlopes(t *testing.T) {
	if *controlSizes == "" {
		t.Skip("run by scripts/slopes.sh")
	}
	t.Log(levertrial.ControlHeader)
	for size := range strings.SplitSeq(*controlSizes, ",") {
		vms, services, _ := strings.Cut(size, "x")
		v, _ := strconv.Atoi(vms)
		n, _ := strconv.Atoi(services)
		synctest.Test(t, func(t *testing.T) {
			t.Log(levertrial.MeasureControl(v, n, leverplatform.Faults{}, 5*time.Minute).Line())
		})
	}
}

// TestStoreOutageCalls checks that the fleet does not overload a store that is
// down or slow for an hour, and that changes are applied promptly afterwards.
func TestStoreOutageCalls(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	const maxCalls = 20 // per second; the platform allows 2000 reads per second
	cases := map[string]leverplatform.Faults{
		"down for an hour": {Down: true},
		"slow for an hour": {Delay: time.Second},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := levertrial.MeasureControl(7, 10, f, time.Hour)
				sum := 0.0
				for _, n := range c.Calls {
					sum += n
				}
				is.True(sum < maxCalls)
				is.True(c.ApplyLatency < 4*time.Second) // the first change comes 10 s after the faults end
			})
		})
	}
}
