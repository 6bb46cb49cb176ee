package levertimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// TestPauseDetector stops the detector's ticks, as a stopped process does. It must
// see the pause before its next tick, for a moment only.
func TestPauseDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &levertimer.PauseDetector{Timer: &levertimer.Service{}}
		is.True(!p.Paused()) // not started
		ctx, stop := context.WithCancel(t.Context())
		go p.Run(ctx)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.True(!p.Paused())
		}
		stop()
		time.Sleep(3 * time.Second)
		is.True(p.Paused())
		go p.Run(t.Context())
		time.Sleep(90 * time.Millisecond)
		is.True(p.Paused())
		time.Sleep(200 * time.Millisecond)
		is.True(!p.Paused())
	})
}
