package leverhealth_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"

	"github.com/matryer/is"
)

// TestWorkAtUpstream compares two upstreams with the same times, of which one has work
// to do. First parts of an urgent fan-out must not queue behind it, and what was stated
// long ago must not count.
func TestWorkAtUpstream(t *testing.T) {
	const bulk leverhealth.Class = "bulk"
	cases := map[string]struct {
		arrange func(t *leverhealth.Tracker, good, bad *leverdirectory.Upstream, now time.Time)
		after   time.Duration
		worse   bool
	}{
		"costly calls beside cheap ones": {func(t *leverhealth.Tracker, good, bad *leverdirectory.Upstream, now time.Time) {
			t.BeginCall(bad, bulk, now)
			t.BeginCall(good, class, now)
		}, 0, true},
		"an old call beside a young one": {func(t *leverhealth.Tracker, good, bad *leverdirectory.Upstream, now time.Time) {
			t.BeginCall(bad, class, now.Add(-21*time.Millisecond))
			t.BeginCall(good, class, now)
		}, 0, false},
		"others wait there": {func(t *leverhealth.Tracker, _, bad *leverdirectory.Upstream, now time.Time) {
			t.ObserveLoad(bad, leverhealth.Load{Running: 2, Waiting: 6, Slots: 2}, now)
		}, 10 * time.Millisecond, true},
		"others waited there": {func(t *leverhealth.Tracker, _, bad *leverdirectory.Upstream, now time.Time) {
			t.ObserveLoad(bad, leverhealth.Load{Running: 2, Waiting: 6, Slots: 2}, now)
		}, 3 * time.Second, false},
		"only own calls are stated": {func(t *leverhealth.Tracker, good, bad *leverdirectory.Upstream, now time.Time) {
			t.BeginCall(bad, class, now)
			t.BeginCall(good, class, now)
			t.ObserveLoad(bad, leverhealth.Load{Running: 1, Slots: 2}, now)
		}, 0, false},
		"slow pace": {func(t *leverhealth.Tracker, _, bad *leverdirectory.Upstream, now time.Time) {
			t.ObserveLoad(bad, leverhealth.Load{Slots: 2, Pace: 800}, now)
		}, 100 * time.Millisecond, true},
		"slow pace long ago": {func(t *leverhealth.Tracker, _, bad *leverdirectory.Upstream, now time.Time) {
			t.ObserveLoad(bad, leverhealth.Load{Slots: 2, Pace: 800}, now)
		}, 3 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker leverhealth.Tracker
			good, bad := upstream("a"), upstream("b")
			now := warmUp(&tracker, good, bad)
			for range 100 {
				tracker.Begin(good, now)
				tracker.End(good, bulk, now, leverhealth.Good, now.Add(100*time.Millisecond))
				tracker.Begin(bad, now)
				tracker.End(bad, bulk, now, leverhealth.Good, now.Add(100*time.Millisecond))
				now = now.Add(100 * time.Millisecond)
			}
			c.arrange(&tracker, good, bad, now)
			now = now.Add(c.after)
			is.Equal(float64(tracker.Estimate(bad, class, now)) > 1.2*float64(tracker.Estimate(good, class, now)), c.worse)
		})
	}
}

// TestFirstOddLoad checks that an upstream that always states an invalid load is logged
// once.
func TestFirstOddLoad(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	is.True(tracker.FirstOddLoad(upstream("a"), startTime))
	is.True(!tracker.FirstOddLoad(upstream("a"), startTime))
	is.True(tracker.FirstOddLoad(upstream("b"), startTime))
}
