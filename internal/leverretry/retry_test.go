package leverretry_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverretry"

	"github.com/matryer/is"
)

func TestBudgetBoundsExtraWork(t *testing.T) {
	is := is.New(t)
	b := leverretry.TokenBudget{Part: 0.1}
	taken := 0
	for range 10000 {
		b.First(1)
		if b.Take() { // everything fails
			taken++
		}
	}
	is.True(taken >= 1000 && taken <= 1010)
	var none leverretry.TokenBudget
	for range 100 {
		none.Take()
	}
	is.True(!none.Take())
}

func TestHedgerFollowsQuantile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := leverretry.QuantileHedger{Quantile: 0.9}
	_, ok := h.Delay(now)
	is.True(!ok) // nothing seen yet
	for i := range 1000 {
		h.Observe(time.Duration(i%100+1)*time.Millisecond, now)
	}
	d, ok := h.Delay(now)
	is.True(ok)
	is.True(d >= 89*time.Millisecond && d <= 92*time.Millisecond)
	for i := range 10 {
		now = now.Add(2 * time.Second)
		h.Observe(time.Duration(i+1)*time.Millisecond, now) // old ones lapse
	}
	d, _ = h.Delay(now)
	is.True(d <= 11*time.Millisecond)
}
