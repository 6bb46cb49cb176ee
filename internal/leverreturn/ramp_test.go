package leverreturn_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverreturn"

	"github.com/matryer/is"
)

// admitted returns the number of 1,000 requests that an upstream may get.
func admitted(r *leverreturn.Ramp, u *leverdirectory.Upstream, now time.Time) int {
	n := 0
	for i := range 1000 {
		if r.Admits(u, leverid.RequestID(fmt.Sprint("id", i)), now) {
			n++
		}
	}
	return n
}

// TestRamp answers the load after an evacuation ends: all VMs send 1,000 requests, and
// none of them knows anything of the upstream. It guards against a burst, against a
// return that never completes, and against VMs that admit different requests.
func TestRamp(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	in, other := &leverdirectory.Upstream{ID: "u", Domain: "a"}, &leverdirectory.Upstream{ID: "v", Domain: "b"}
	var r leverreturn.Ramp
	r.Update([]leverid.Domain{"a"}, start)
	is.True(!r.Any(start))
	ended := start.Add(time.Minute)
	r.Update(nil, ended)
	r.Update(nil, ended.Add(time.Second)) // a change of the upstreams
	is.True(r.Any(ended))
	is.True(admitted(&r, in, ended) <= 50)
	is.True(admitted(&r, in, ended) > 0)
	is.Equal(admitted(&r, other, ended), 1000)
	last := 0
	for s := range 10 {
		n := admitted(&r, in, ended.Add(time.Duration(s)*time.Second))
		is.True(n > last && n-last <= 150)
		last = n
	}
	is.Equal(admitted(&r, in, ended.Add(10*time.Second)), 1000)
	is.True(!r.Any(ended.Add(10 * time.Second)))

	var same leverreturn.Ramp
	same.Update([]leverid.Domain{"a"}, start)
	same.Update(nil, ended)
	for i := range 1000 {
		id, now := leverid.RequestID(fmt.Sprint("id", i)), ended.Add(3*time.Second)
		is.Equal(r.Admits(in, id, now), same.Admits(in, id, now))
	}
}

// TestRampAgain guards against a failure domain that is evacuated again during its return
// and then returns all at once.
func TestRampAgain(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	u := &leverdirectory.Upstream{ID: "u", Domain: "a"}
	var r leverreturn.Ramp
	for range 3 {
		r.Update([]leverid.Domain{"a", "b"}, start)
		start = start.Add(9 * time.Second)
		r.Update([]leverid.Domain{"b"}, start)
		is.True(admitted(&r, u, start) <= 50)
		start = start.Add(9 * time.Second)
	}
}
