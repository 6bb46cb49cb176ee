package leverlimit_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverlimit"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/matryer/is"
)

func TestAdaptive(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := leverlimit.NewAdaptive(10)
	is.Equal(a.Limit(now), 10)
	a.Observe(levermsg.Shed, now)
	a.Observe(levermsg.Shed, now) // the same burst
	is.Equal(a.Limit(now), 7)
	for i := range 100 {
		a.Observe(levermsg.Shed, now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add(time.Hour)
	is.Equal(a.Limit(now), 1)
	for range 200 {
		a.Observe(levermsg.OK, now)
	}
	is.Equal(a.Limit(now), 10) // never above the slots
	a.Observe(levermsg.Unreachable, now)
	a.Observe(levermsg.OK, now)
	is.Equal(a.Limit(now), 5) // came back: a ramp
	is.Equal(a.Limit(now.Add(time.Second)), 7)
	is.Equal(a.Limit(now.Add(time.Minute)), 10)
	is.Equal(leverlimit.Fixed(0).Limit(now), 1)
}
