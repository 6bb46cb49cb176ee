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
