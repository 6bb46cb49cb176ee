// Package leverplug provides a registry for plug-ins. Each plug-in registers a
// factory under a name, by which it is selected.
package leverplug

import (
	"slices"
	"sync"

	"github.com/juju/errors"
)

// Registry maps names to the factories of one kind of plug-in. The zero value
// is ready to use. It is safe for concurrent use.
type Registry[F any] struct {
	mu        sync.Mutex
	factories map[string]F
}

// Register adds a factory. It panics if the name is already registered, which
// is a programming error that shows at start-up.
func (r *Registry[F]) Register(name string, factory F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.factories[name]; ok {
		panic("leverplug: name already registered: " + name)
	}
	if r.factories == nil {
		r.factories = make(map[string]F)
	}
	r.factories[name] = factory
}

// Lookup returns the factory with the given name, or a NotFound error that
// lists the registered names.
func (r *Registry[F]) Lookup(name string) (F, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.factories[name]
	if !ok {
		return f, errors.NotFoundf("%q (registered: %v)", name, r.names())
	}
	return f, nil
}

// Names returns the registered names, sorted.
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
