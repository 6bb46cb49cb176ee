package leverhealth_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"

	"github.com/matryer/is"
)

// TestLeaving has a run say that it leaves. That must hold until the run is gone for
// good, and for no other run.
func TestLeaving(t *testing.T) {
	listed := func(leverdirectory.Key) bool { return true }
	gone := func(leverdirectory.Key) bool { return false }
	run := leverdirectory.Upstream{ID: "u", Address: "a", Born: 1}
	cases := map[string]struct {
		upstream leverdirectory.Upstream
		known    func(leverdirectory.Key) bool
		after    time.Duration
		want     time.Duration
	}{
		"listed":               {run, listed, 2 * time.Hour, leverhealth.Forever},
		"gone for a while":     {run, gone, time.Minute, leverhealth.Forever},
		"gone for long":        {run, gone, 2 * time.Hour, 0},
		"a later run":          {leverdirectory.Upstream{ID: "u", Address: "a", Born: 2}, listed, time.Second, 0},
		"another at its place": {leverdirectory.Upstream{ID: "v", Address: "a", Born: 1}, listed, time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker leverhealth.Tracker
			is.True(!tracker.AnyBlocked())
			is.True(tracker.Leave(&run, startTime))
			is.True(!tracker.Leave(&run, startTime))
			now := startTime.Add(c.after)
			lost := tracker.Retain(c.known, now)
			is.Equal(len(lost) == 1, !tracker.AnyBlocked())
			is.Equal(tracker.Wait(&c.upstream, now), c.want)
		})
	}
}

// TestPause has a run ask for pauses. The longest one must hold until its end.
func TestPause(t *testing.T) {
	run := leverdirectory.Upstream{ID: "u", Address: "a", Born: 1}
	cases := map[string]struct {
		pauses []time.Duration
		after  time.Duration
		want   time.Duration
	}{
		"begun":           {[]time.Duration{time.Second}, 0, time.Second},
		"under way":       {[]time.Duration{time.Second}, 300 * time.Millisecond, 700 * time.Millisecond},
		"over":            {[]time.Duration{time.Second}, time.Second, 0},
		"over for a time": {[]time.Duration{time.Second}, time.Minute, 0},
		"extended":        {[]time.Duration{time.Second, 2 * time.Second}, time.Second, time.Second},
		"not shortened":   {[]time.Duration{2 * time.Second, time.Second}, time.Second, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker leverhealth.Tracker
			for i, d := range c.pauses {
				is.Equal(tracker.Pause(&run, d, startTime), i == 0)
			}
			now := startTime.Add(c.after)
			is.Equal(tracker.Wait(&run, now), c.want)
			is.Equal(tracker.EndPause(&run, now), c.want)
			is.Equal(tracker.AnyBlocked(), c.want > 0)
			tracker.Leave(&run, now)
			is.Equal(tracker.Wait(&run, now), leverhealth.Forever)
		})
	}
}
