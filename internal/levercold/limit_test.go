package levercold_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercold"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/matryer/is"
)

// rate is the rate of the service, bound what a cold upstream of it may receive in any
// second.
const (
	rate  = 10
	bound = 20
)

// view returns a view with the given upstreams of a service with the rate.
func view(list ...leverdirectory.Upstream) *leverdirectory.View {
	var d leverdirectory.Directory
	d.SetConfig(&leverdirectory.Config{Version: 1, Services: map[leverid.ServiceID]leverdirectory.Service{
		"s": {ColdStart: 20 * time.Second, ColdRate: rate}, "free": {ColdStart: 20 * time.Second},
	}})
	d.SetUpstreams(list)
	return d.View()
}

func newLimit(self leverid.VMID, list []levermsg.VM) *levercold.Limit {
	return &levercold.Limit{Terms: levercold.DefaultTerms, Shares: settled(self, list)}
}

// call is a request under way.
type call struct {
	vm      int
	arrives time.Time
	ends    time.Time
	end     levercold.End
}

// TestColdBound answers a flood on all VMs, more than each has places for: in any second
// at most the bound arrives, however long calls take and whether their ends are known,
// and nearly the rate of the service is used.
func TestColdBound(t *testing.T) {
	for _, n := range []int{1, 3, 73} {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		u := leverdirectory.Upstream{ID: "u", Service: "s", ColdFor: time.Minute}
		var limits []*levercold.Limit
		for _, vm := range fleet(n) {
			l := newLimit(vm.ID, fleet(n))
			l.Update(view(u), start)
			limits = append(limits, l)
		}
		var open []call
		var arrivals []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			open = slices.DeleteFunc(open, func(c call) bool {
				if c.ends.After(now) {
					return false
				}
				limits[c.vm].End(&u, c.end, now)
				return true
			})
			for i, l := range limits {
				wait := l.Wait(&u, now)
				counted, ok := l.Take(&u, now)
				if (wait == 0) != ok || counted != ok {
					t.Fatalf("the wait is %v, and a request may be sent: %t", wait, ok)
				}
				if !ok {
					continue
				}
				c := call{vm: i, arrives: now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)}
				c.ends = c.arrives.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond)))
				c.end = levercold.Arrived
				switch rng.IntN(10) {
				case 0:
					// The caller leaves while the request is under way.
					c.end, c.ends = levercold.Unknown, now
				case 1:
					c.end, c.ends = levercold.NotArrived, now
				}
				open = append(open, c)
				if c.end != levercold.NotArrived {
					arrivals = append(arrivals, c.arrives)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i := range arrivals {
			if j := i + bound; j < len(arrivals) && arrivals[j].Sub(arrivals[i]) < time.Second {
				t.Fatalf("%d VMs: more than %d arrivals in a second", n, bound)
			}
		}
		if got := float64(len(arrivals)) / 20; got < rate {
			t.Errorf("%d VMs: %.1f requests a second, want at least %d", n, got, rate)
		}
	}
}

// TestWhoIsCold guards against an upstream that is taken for warm while it is cold, for
// cold for ever, or for cold anew by an entry that is read again.
func TestWhoIsCold(t *testing.T) {
	const s = time.Second
	longAgo := start.Add(-time.Hour).UnixMilli()
	cases := map[string]struct {
		first, second leverdirectory.Upstream
		// observed is what a response says after 10 s, unless it is negative.
		observed time.Duration
		// cold lists the times, in seconds, at which it is cold, of 1, 9, 11, 19 and 31.
		cold []int
	}{
		"warm":                 {leverdirectory.Upstream{Born: longAgo}, leverdirectory.Upstream{Born: longAgo}, -1, nil},
		"by its start":         {leverdirectory.Upstream{Born: start.UnixMilli()}, leverdirectory.Upstream{Born: start.UnixMilli()}, -1, []int{1, 9, 11, 19}},
		"started a while ago":  {leverdirectory.Upstream{Born: start.Add(-17 * s).UnixMilli()}, leverdirectory.Upstream{Born: start.Add(-17 * s).UnixMilli()}, -1, []int{1}},
		"start in the future":  {leverdirectory.Upstream{Born: start.Add(1000 * s).UnixMilli()}, leverdirectory.Upstream{Born: start.Add(1000 * s).UnixMilli()}, -1, []int{1, 9, 11, 19}},
		"start not known":      {leverdirectory.Upstream{}, leverdirectory.Upstream{}, -1, []int{1, 9, 11, 19}},
		"by its entry":         {leverdirectory.Upstream{Born: longAgo, ColdFor: 10 * s, ColdEntry: 1}, leverdirectory.Upstream{Born: longAgo, ColdFor: 10 * s, ColdEntry: 1}, -1, []int{1, 9}},
		"cold again":           {leverdirectory.Upstream{Born: longAgo}, leverdirectory.Upstream{Born: longAgo, ColdFor: 20 * s, ColdEntry: 2}, -1, []int{11, 19}},
		"cold again, as long":  {leverdirectory.Upstream{Born: longAgo, ColdFor: 5 * s, ColdEntry: 1}, leverdirectory.Upstream{Born: longAgo, ColdFor: 5 * s, ColdEntry: 2}, -1, []int{1, 11}},
		"entry says no longer": {leverdirectory.Upstream{Born: longAgo, ColdFor: 15 * s, ColdEntry: 1}, leverdirectory.Upstream{Born: longAgo}, -1, []int{1, 9, 11}},
		"response says so":     {leverdirectory.Upstream{Born: longAgo}, leverdirectory.Upstream{Born: longAgo}, 5 * s, []int{11}},
		"response says warm":   {leverdirectory.Upstream{}, leverdirectory.Upstream{}, 0, []int{1, 9}},
		"odd response":         {leverdirectory.Upstream{Born: longAgo}, leverdirectory.Upstream{Born: longAgo}, 1 << 62, nil},
		"odd entry":            {leverdirectory.Upstream{Born: longAgo, ColdFor: 1<<63 - 1, ColdEntry: 1}, leverdirectory.Upstream{Born: longAgo}, 0, []int{1, 9}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.first.ID, c.first.Service, c.second.ID, c.second.Service = "u", "s", "u", "s"
			l := newLimit("vm0", fleet(73))
			l.Update(view(c.first), start)
			var cold []int
			for _, at := range []int{1, 9, 11, 19, 31} {
				now := start.Add(time.Duration(at) * s)
				if at == 11 {
					l.Update(view(c.second), start.Add(10*s))
					if c.observed >= 0 {
						l.Observe(&c.second, c.observed, start.Add(10*s))
					}
				}
				l.Shares.Renew(fleet(73), false, now)
				// A flood takes all places of a cold upstream.
				for range 50 {
					l.Take(&c.second, now)
				}
				if l.Wait(&c.second, now) > 0 {
					cold = append(cold, at)
				}
			}
			is.Equal(cold, c.cold)
		})
	}
}

// TestNewRun guards against a flood on an upstream that has started again before its entry
// says so, and against places that a new run has in addition to those of the run before.
func TestNewRun(t *testing.T) {
	is := is.New(t)
	u := leverdirectory.Upstream{ID: "u", Service: "s", Born: start.Add(-time.Hour).UnixMilli()}
	l := newLimit("vm0", fleet(1))
	l.Update(view(u), start)
	counted, _ := l.Take(&u, start)
	is.True(!counted)
	l.Unreachable(&u, start)
	for range bound {
		counted, ok := l.Take(&u, start)
		is.True(counted && ok)
	}
	next := u
	next.Born = start.UnixMilli()
	l.Update(view(next), start)
	_, ok := l.Take(&next, start)
	is.True(!ok)
	l.End(&u, levercold.NotArrived, start)
	_, ok = l.Take(&next, start)
	is.True(ok)
}

// TestNoBound guards against limits where the configuration has none.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	u := leverdirectory.Upstream{ID: "u", Service: "free", ColdFor: time.Minute}
	l := &levercold.Limit{Terms: levercold.DefaultTerms, Shares: &levercold.Shares{Self: "a"}}
	is.True(!l.Any())
	_, ok := l.Take(&u, start)
	is.True(ok)
	l.Update(view(u), start)
	counted, ok := l.Take(&u, start)
	is.True(ok && !counted)
	is.Equal(l.Wait(&u, start), time.Duration(0))
	var d leverdirectory.Directory
	d.SetUpstreams([]leverdirectory.Upstream{u})
	l.Update(d.View(), start) // no configuration yet
	is.True(!l.Any())
}

// TestPlacesSurviveTheEntry guards against a second set of places for an upstream whose
// entry expires and is back within a second.
func TestPlacesSurviveTheEntry(t *testing.T) {
	is := is.New(t)
	u := leverdirectory.Upstream{ID: "u", Service: "s", ColdFor: time.Minute}
	l := newLimit("vm0", fleet(1))
	l.Update(view(u), start)
	take := func() (n int) {
		for {
			if _, ok := l.Take(&u, start); !ok {
				return n
			}
			n++
		}
	}
	is.Equal(take(), bound)
	for range bound {
		l.End(&u, levercold.Arrived, start)
	}
	l.Update(view(), start)
	l.Update(view(u), start)
	is.Equal(take(), 0)
}
