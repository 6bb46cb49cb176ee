// Package levercopy decides what counts of a collection whose store has come back from a
// copy some seconds old: what was written since is missing there, and what was removed or
// changed is back. It does no I/O.
package levercopy

import (
	"maps"
	"slices"
	"time"
)

// Settle is how long what the copy says against what is known does not count. Meanwhile,
// writers write again what was lost, and the platform removes the entries of upstreams that
// are gone.
const Settle = 10 * time.Second

// Rules are those of one collection.
type Rules[T any] struct {
	// Hold is how long an item that the copy lacks is kept. If it is negative, the item
	// is kept until it is written again.
	Hold time.Duration
	// Stale reports whether an item of the copy goes back behind the one that was known,
	// which had been removed or is still in force.
	Stale func(known T, removed bool, copied T) bool
	// Final says that a stale item never counts.
	Final bool
	Equal func(a, b T) bool
}

// Item is an item as it was known.
type Item[T any] struct {
	Value   T
	Removed bool
}

// Judgement says that what was known of an item counts, and not what the copy says.
type Judgement[T any] struct {
	Name string `msgpack:"n"`
	// Known is what counts, unless Removed is set: then the item does not exist.
	Known   T    `msgpack:"k"`
	Removed bool `msgpack:"r,omitempty"`
	// Missing means that the copy lacks the item. Otherwise, Copied is the copy's.
	Missing bool `msgpack:"m,omitempty"`
	Copied  T    `msgpack:"c"`
}

// Return holds the judgements on the items of one collection after a return of the store.
// The zero value holds before the first one. It is not safe for concurrent use.
type Return[T any] struct {
	// era distinguishes returns.
	era        uint16
	began      time.Time
	judgements map[string]Judgement[T]
}

// Begin judges what the store holds after a return against what was known before.
func (r *Return[T]) Begin(era uint16, rules *Rules[T], known map[string]Item[T], copied map[string]T, now time.Time) {
	r.era, r.began, r.judgements = era, now, make(map[string]Judgement[T])
	for name, k := range known {
		v, ok := copied[name]
		switch {
		case !ok && !k.Removed:
			r.judgements[name] = Judgement[T]{Name: name, Known: k.Value, Missing: true}
		case ok && rules.Stale(k.Value, k.Removed, v):
			r.judgements[name] = Judgement[T]{Name: name, Known: k.Value, Removed: k.Removed, Copied: v}
		}
	}
}

// Adopt takes over what another VM has judged since a return some time ago, unless this VM
// has seen that return itself. Update must follow.
func (r *Return[T]) Adopt(era uint16, list []Judgement[T], age time.Duration, now time.Time) {
	if era == r.era {
		return
	}
	r.era, r.began, r.judgements = era, now.Add(-age), make(map[string]Judgement[T], len(list))
	for _, j := range list {
		r.judgements[j.Name] = j
	}
}

// Update ends the judgements on items that have been written again or removed, or whose
// time is over, given what the store holds now. It reports whether any has ended.
func (r *Return[T]) Update(rules *Rules[T], stored func(name string) (T, bool), now time.Time) bool {
	age, before := now.Sub(r.began), len(r.judgements)
	for name, j := range r.judgements {
		v, ok := stored(name)
		switch {
		case j.Missing && (ok || rules.Hold >= 0 && age >= rules.Hold):
			delete(r.judgements, name)
		case !j.Missing && (!ok || !rules.Equal(v, j.Copied) || !rules.Final && age >= Settle):
			delete(r.judgements, name)
		}
	}
	return len(r.judgements) < before
}

// Apply replaces what the store holds, which is modified, by what counts.
func (r *Return[T]) Apply(stored map[string]T) {
	for name, j := range r.judgements {
		if j.Removed {
			delete(stored, name)
		} else {
			stored[name] = j.Known
		}
	}
}

// Holds reports whether an item counts although the store lacks it.
func (r *Return[T]) Holds(name string) bool { return r.judgements[name].Missing }

// Judgements returns the judgements that have not ended.
func (r *Return[T]) Judgements() []Judgement[T] {
	return slices.Collect(maps.Values(r.judgements))
}

// Count returns the number of items that are kept although the store lacks them, and of
// those that do not count although it has them.
func (r *Return[T]) Count() (held, stale int) {
	for _, j := range r.judgements {
		if j.Missing {
			held++
		}
	}
	return held, len(r.judgements) - held
}
