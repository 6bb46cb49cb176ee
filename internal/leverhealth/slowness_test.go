package leverhealth_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverhealth"

	"github.com/matryer/is"
)

// TestRecovery has an upstream take long once, as after a pause, several times, or not
// respond at all. After a pause the upstream must be used again soon; one that stays
// slow must not get a first attempt every second.
func TestRecovery(t *testing.T) {
	const usable = 1.6 // the factor that another failure domain costs
	cases := map[string]struct {
		calls         int
		took          time.Duration
		result        leverhealth.Result
		after         time.Duration
		wantAvoidance bool
	}{
		"after a pause":              {1, 120 * time.Millisecond, leverhealth.Good, 100 * time.Millisecond, false},
		"slow for long":              {4, 160 * time.Millisecond, leverhealth.Good, 2 * time.Second, true},
		"slow for long, a minute on": {4, 160 * time.Millisecond, leverhealth.Good, time.Minute, false},
		"silent":                     {1, 400 * time.Millisecond, leverhealth.Canceled, time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker leverhealth.Tracker
			good, bad := upstream("a"), upstream("b")
			now := warmUp(&tracker, good, bad)
			for range c.calls {
				call(&tracker, bad, now, c.took, c.result)
				now = now.Add(c.took)
			}
			now = now.Add(c.after)
			factor := float64(tracker.Estimate(bad, class, now)) / float64(tracker.Estimate(good, class, now))
			is.Equal(factor > usable, c.wantAvoidance)
		})
	}
}

// TestSlownessOfAllClasses checks that calls of one class tell about those of others,
// which may be too rare to learn from.
func TestSlownessOfAllClasses(t *testing.T) {
	is := is.New(t)
	var tracker leverhealth.Tracker
	good, bad := upstream("a"), upstream("b")
	now := warmUp(&tracker, good, bad)
	for range 4 {
		call(&tracker, bad, now, 160*time.Millisecond, leverhealth.Good)
	}
	is.True(tracker.Estimate(bad, "other", now) > 2*tracker.Estimate(good, "other", now))
}
