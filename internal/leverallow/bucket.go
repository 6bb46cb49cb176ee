package leverallow

import (
	"math"
	"time"
)

// bucket holds the tokens of one organisation at a manager. In any span t it gives out
// at most capacity + rate x t, both in proportion to the votes of its pool.
type bucket struct {
	limit  Limit
	tokens float64
	// filled and gifts are the pool's values that tokens includes.
	filled, gifts float64
	// promised is until when the tokens to come have been promised to callers that
	// were refused.
	promised time.Time
}

// setLimit takes over a limit unless it is of an older configuration.
func (b *bucket) setLimit(l Limit) {
	if l.Version >= b.limit.Version || b.limit.Rate <= 0 {
		b.limit = l
	}
}

// take takes up to n tokens, but leaves at least keep.
func (b *bucket) take(n int, keep float64) int {
	granted := max(min(n, int(math.Floor(b.tokens-keep+1e-9))), 0)
	b.tokens -= float64(granted)
	return granted
}

// promise returns when n refused requests may come again: the first one after wait,
// each further one after step. The limit on the wait is one window, because callers
// that come again earlier would otherwise make it grow without bound.
func (b *bucket) promise(n int, f, window float64, now time.Time) (wait, step time.Duration) {
	rate := f * b.limit.Rate
	next := now.Add(seconds(max(1-b.tokens, 0) / rate))
	if b.promised.After(next) {
		next = b.promised
	}
	step = seconds(1 / rate)
	if wait = next.Sub(now); wait > seconds(window) {
		return seconds(window), step
	}
	b.promised = next.Add(time.Duration(n) * step)
	return wait, step
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
