package leverevent

import (
	"expvar"
	"sync"
)

// Counters is a set of named counters. It is separate from the global expvar
// registry, so that tests can run several nodes in one process; a daemon
// publishes its set once. The zero value is ready to use. It is safe for
// concurrent use.
type Counters struct {
	mu   sync.Mutex
	vars map[string]*expvar.Int
}

// Add adds n to the counter with the given name.
func (c *Counters) Add(name string, n int64) { c.counter(name).Add(n) }

// Get returns the value of the counter with the given name.
func (c *Counters) Get(name string) int64 { return c.counter(name).Value() }

// Snapshot returns a copy of all counters by name.
func (c *Counters) Snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.vars))
	for k, v := range c.vars {
		out[k] = v.Value()
	}
	return out
}

// Publish exports the set to expvar under name. It panics if name is in use.
func (c *Counters) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return c.Snapshot() }))
}

func (c *Counters) counter(name string) *expvar.Int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.vars[name]; ok {
		return v
	}
	if c.vars == nil {
		c.vars = make(map[string]*expvar.Int)
	}
	v := new(expvar.Int)
	c.vars[name] = v
	return v
}
