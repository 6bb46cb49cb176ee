package leverhealth_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"

	"github.com/matryer/is"
)

const class leverhealth.Class = "c"

var startTime = time.Unix(1000, 0)

func upstream(id string) *leverdirectory.Upstream {
	return &leverdirectory.Upstream{ID: "u" + "-", Address: id, Slots: 2}
}

// call records one call that takes d.
func call(t *leverhealth.Tracker, u *leverdirectory.Upstream, at time.Time, d time.Duration, r leverhealth.Result) leverhealth.Status {
	t.Begin(u, at)
	return t.End(u, class, at, r, at.Add(d))
}

// warmUp records 100 successful calls of 20 ms for each upstream.
func warmUp(t *leverhealth.Tracker, us ...*leverdirectory.Upstream) time.Time {
	now := startTime
	for range 100 {
		for _, u := range us {
			call(t, u, now, 20*time.Millisecond, leverhealth.Good)
			now = now.Add(20 * time.Millisecond)
		}
	}
	return now
}

func TestEstimate(t *testing.T) {
	cases := map[string]func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time{
		"slow": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, 200*time.Millisecond, leverhealth.Good)
			return now.Add(200 * time.Millisecond)
		},
		"fails": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Failed)
			return now.Add(time.Millisecond)
		},
		"sheds": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Shed)
			return now.Add(time.Millisecond)
		},
		"is unreachable": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Refused)
			return now.Add(time.Millisecond)
		},
		"is unresponsive": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			t.Begin(u, now)
			return now.Add(t.SlowAfter(class) + time.Millisecond)
		},
		"is busy": func(t *leverhealth.Tracker, u *leverdirectory.Upstream, now time.Time) time.Time {
			t.Begin(u, now)
			t.Begin(u, now)
			return now
		},
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker leverhealth.Tracker
			good, bad := upstream("a"), upstream("b")
			now := arrange(&tracker, bad, warmUp(&tracker, good, bad))
			is.True(tracker.Estimate(bad, class, now) > tracker.Estimate(good, class, now))
		})
	}
}

// TestEstimateDecays checks that an estimate returns to normal without new
// observations, so that an upstream that was slow for a while is used again.
func TestEstimateDecays(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	u := upstream("a")
	now := warmUp(&tracker, u)
	usual := tracker.Estimate(u, class, now)
	for range 10 {
		call(&tracker, u, now, 300*time.Millisecond, leverhealth.Good)
		now = now.Add(300 * time.Millisecond)
	}
	is.True(tracker.Estimate(u, class, now) > 3*usual)
	is.True(tracker.Estimate(u, class, now.Add(20*time.Second)) < 2*usual)
}

// TestUnresponsiveUntilResponse checks that after a response to any call the
// upstream counts as responsive, even while the unanswered call is still in
// flight.
func TestUnresponsiveUntilResponse(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	u := upstream("a")
	now := warmUp(&tracker, u)
	tracker.Begin(u, now)
	later := now.Add(time.Second)
	is.True(!leverhealth.Usable(tracker.Estimate(u, class, later)))
	call(&tracker, u, later, 20*time.Millisecond, leverhealth.Good)
	is.True(leverhealth.Usable(tracker.Estimate(u, class, later.Add(21*time.Millisecond))))
}

// TestWithdrawn checks that a call that was never sent has no effect on the
// estimate.
func TestWithdrawn(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	u := upstream("a")
	now := warmUp(&tracker, u)
	before := tracker.Estimate(u, class, now)
	is.Equal(call(&tracker, u, now, time.Second, leverhealth.Withdrawn), leverhealth.Status(""))
	is.True(tracker.Estimate(u, class, now.Add(time.Second)) <= before+time.Millisecond)
}

func TestStatus(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	u := upstream("a")
	now := warmUp(&tracker, u)
	is.Equal(call(&tracker, u, now, 0, leverhealth.Refused), leverhealth.Unreachable)
	now = now.Add(time.Second)
	is.Equal(call(&tracker, u, now, 0, leverhealth.Good), leverhealth.Healthy)
	var last leverhealth.Status
	for range 8 {
		now = now.Add(time.Millisecond)
		if status := call(&tracker, u, now, 0, leverhealth.Shed); status != "" {
			last = status
		}
	}
	is.Equal(last, leverhealth.Failing)
}

func TestRetain(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	u := upstream("a")
	now := warmUp(&tracker, u)
	call(&tracker, u, now, 0, leverhealth.Refused)
	tracker.Retain(func(leverdirectory.Key) bool { return false }, now)
	is.True(leverhealth.Usable(tracker.Estimate(u, class, now)))
}
