package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// requestInterval is the pause between an answer and the next request of a
	// caller.
	requestInterval = 25 * time.Millisecond
	// maxLongPause is the longest pause of the callers that pause for long.
	maxLongPause = 5 * time.Second
	// longPauseEvery says that each such caller of a VM pauses for long.
	longPauseEvery = 2
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	method, path string
	timeout      time.Duration
}

var requestKinds = []requestKind{
	{http.MethodGet, standin.PathAll, requestTimeout},
	{http.MethodGet, standin.PathSlow, standin.SlowTimeout},
	{http.MethodGet, standin.PathOne, requestTimeout},
	{http.MethodPost, standin.PathPost, requestTimeout},
	{http.MethodPost, standin.PathSlowPost, standin.SlowTimeout},
}

// caller sends requests of all kinds to one VM on a connection that it uses until
// the VM closes it, also while the VM stops. Some callers pause for long, with the
// connection open, also before the first request.
type caller struct {
	soak       *soak
	vm         *vm
	number     int
	rng        *rand.Rand
	connection standin.Connection
	// organisation is the caller's one, or empty.
	organisation string
	// until, if set, is when the caller ends.
	until time.Time
}

func (c *caller) run(wg *sync.WaitGroup) {
	defer wg.Done()
	defer c.connection.Close()
	for i := c.number; !c.soak.stopping.Load() && (c.until.IsZero() || time.Now().Before(c.until)); i++ {
		// An error means that the VM is down. Send tries again.
		_ = c.connection.Open()
		time.Sleep(c.pause())
		k := requestKinds[i%len(requestKinds)]
		if k.timeout == standin.SlowTimeout {
			c.vm.slow.Add(1)
		}
		id := fmt.Sprintf("s%d-%06d", c.soak.seed, c.soak.nextID.Add(1))
		process := c.vm.process()
		var key string
		key, c.connection.Header = c.header()
		calm := c.soak.calm.Load()
		x := c.connection.Send(k.method, id, k.path+id, k.timeout)
		if c.vm.process() == process && !c.vm.pausedSince(x.Sent) {
			x.Process = process
		}
		if k.timeout == standin.SlowTimeout {
			c.vm.slow.Add(-1)
		}
		x.MayBeLate = c.soak.options.RulesOnly || c.vm.pausedSince(x.Sent)
		x.MustEnd = c.soak.options.Planned || c.soak.options.Stops
		x.Stopped, x.Grace = c.vm.stoppedBefore(x.Sent.Add(x.Took))
		x.FaultyUpstreams = c.soak.options.Stops
		x.Key, x.Calm = key, calm
		x.KeysCurrent, x.Current, x.FleetCurrent = c.soak.keysKnownBefore(c.vm, x.Sent), c.soak.knownBefore(c.vm, x.Sent), c.soak.knownBefore(nil, x.Sent)
		c.soak.sim.Checker.Record(x)
	}
}

func (c *caller) pause() time.Duration {
	if c.number%longPauseEvery == 0 {
		return requestInterval
	}
	return time.Duration(c.rng.Int64N(int64(maxLongPause)))
}
