// Package leverrank decides which rank is served next and how much work of each
// rank is admitted. It does no I/O.
package leverrank

import "arbutuslever.dev/lever/internal/leverid"

// Floors is the fraction of the capacity that each rank keeps while it has
// demand, whatever the demand of the other ranks.
type Floors [leverid.RankCount]float64

// Allocate divides capacity, in work per second, among the ranks. Each rank
// first gets its demand up to its floor; the remainder goes to the most urgent
// demand. No rank gets more than its demand.
func Allocate(capacity float64, demand Rates, floors Floors) Rates {
	var grant Rates
	remaining := capacity
	for r := range demand {
		grant[r] = min(demand[r], floors[r]*capacity)
		remaining -= grant[r]
	}
	for r := range demand {
		extra := max(min(demand[r]-grant[r], remaining), 0)
		grant[r] += extra
		remaining -= extra
	}
	return grant
}

// Fractions returns the fraction of each rank's demand that is granted, 1 where
// there is no demand.
func Fractions(grant, demand Rates) [leverid.RankCount]float32 {
	var f [leverid.RankCount]float32
	for r := range demand {
		f[r] = 1
		if demand[r] > 0 {
			f[r] = float32(min(grant[r]/demand[r], 1))
		}
	}
	return f
}
