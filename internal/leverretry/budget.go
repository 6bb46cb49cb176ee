// Package leverretry decides whether an attempt may be repeated and when a
// second one is sent beside a slow first. Only the entry VM's plan uses it:
// one tier retries.
package leverretry

import (
	"sync"

	"arbutuslever.dev/lever/internal/leverplug"
)

// Budget bounds extra attempts as a part of first attempts. Implementations
// are safe for concurrent use.
type Budget interface {
	// First counts n first attempts.
	First(n int)
	// Take reports whether one extra attempt may be sent, and charges it.
	Take() bool
}

// Budgets holds the budget policies. A factory takes the part of first
// attempts that may be repeated.
var Budgets leverplug.Registry[func(part float64) Budget]

func init() {
	Budgets.Register("budget", func(part float64) Budget { return &TokenBudget{Part: part} })
	Budgets.Register("unbounded", func(float64) Budget { return Unbounded{} })
	Budgets.Register("none", func(float64) Budget { return None{} })
}

// Unbounded allows every extra attempt. It is a baseline.
type Unbounded struct{}

// First does nothing.
func (Unbounded) First(int) {}

// Take returns true.
func (Unbounded) Take() bool { return true }

// None allows no extra attempt. It is a baseline.
type None struct{}

// First does nothing.
func (None) First(int) {}

// Take returns false.
func (None) Take() bool { return false }

// startTokens lets a service that has just begun repeat a few attempts.
const startTokens = 5

// maxTokens bounds the burst of extra attempts.
const maxTokens = 20

// TokenBudget earns Part of a token with each first attempt and spends one for
// each extra attempt. The zero value earns nothing beyond its first tokens.
type TokenBudget struct {
	// Part is the fraction of first attempts that may be repeated.
	Part float64

	mu     sync.Mutex
	earned float64
	begun  bool
}

// First counts n first attempts.
func (b *TokenBudget) First(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.earned = min(b.earned+b.Part*float64(n), maxTokens)
}

// Take reports whether an extra attempt may be sent, and charges it.
func (b *TokenBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	if b.earned < 1 {
		return false
	}
	b.earned--
	return true
}

func (b *TokenBudget) begin() {
	if b.begun {
		return
	}
	b.begun = true
	b.earned = startTokens
}
