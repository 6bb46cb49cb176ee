package levertimer_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// TestSignalClock guards against a process that counts its grace period from when it
// resumes, so that it is killed during its stop, and against one that shortens a stop
// without a pause. Each entry of ticks is the time in ms at which the process runs.
func TestSignalClock(t *testing.T) {
	cases := map[string]struct {
		ticks       []int
		signal, age int
	}{
		"no tick yet":                           {nil, 50, 0},
		"no pause":                              {[]int{100, 200, 300}, 350, 0},
		"a late tick":                           {[]int{100, 200, 390}, 400, 0},
		"signal received first":                 {[]int{100, 200}, 3000, 2800},
		"tick first":                            {[]int{100, 200, 3000}, 3005, 2805},
		"some time after a pause":               {[]int{100, 200, 3000, 3090}, 3150, 0},
		"long after a pause":                    {[]int{100, 200, 3000, 3100, 3200, 3300}, 3310, 0},
		"two pauses with an instant in between": {[]int{100, 200, 3000, 3010}, 5000, 4800},
		"two pauses apart":                      {[]int{100, 200, 3000, 3100, 3200}, 5000, 1800},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var now int
			s := levertimer.SignalClock{Boot: func() time.Duration { return time.Duration(now) * time.Millisecond }}
			for _, now = range c.ticks {
				s.Tick()
			}
			now = c.signal
			is.Equal(s.Pending(), time.Duration(c.age)*time.Millisecond)
		})
	}
}
