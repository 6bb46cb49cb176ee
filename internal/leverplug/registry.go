// Package leverplug is the registry through which plug-ins make themselves
// known: each registers its factory, and one is picked by its name.
package leverplug

import (
	"slices"
	"sync"

	"github.com/juju/errors"
)

// Registry maps names to factories of one kind of plug-in. The zero value is
// ready to use. It is safe for concurrent use.
type Registry[F any] struct {
	mu        sync.Mutex
	factories map[string]F
}

// Register adds a factory. It panics if the name is taken, because that is a
// programming error found at start.
func (r *Registry[F]) Register(name string, factory F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.factories[name]; ok {
		panic("leverplug: registered twice: " + name)
	}
	if r.factories == nil {
		r.factories = make(map[string]F)
	}
	r.factories[name] = factory
}

// Lookup returns the factory with the given name, or a NotFound error that
// lists the names there are.
func (r *Registry[F]) Lookup(name string) (F, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.factories[name]
	if !ok {
		return f, errors.NotFoundf("%q (have %v)", name, r.names())
	}
	return f, nil
}

// Names returns the registered names in order.
func (r *Registry[F]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names()
}

func (r *Registry[F]) names() []string {
	var out []string
	for n := range r.factories {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
