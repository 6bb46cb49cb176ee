// Package leverrank decides which rank is served next and how much of the work
// of each rank is let in. It does no I/O.
package leverrank

import "arbutuslever.dev/lever/internal/leverid"

// Floors is the part of capacity that each rank keeps while it has demand,
// whatever the other ranks offer.
type Floors [leverid.RankCount]float64

// Allocate divides capacity over the ranks, in work per second. Each rank
// first gets its demand up to its floor; what is left goes to the most urgent
// demand. No rank gets more than its demand.
func Allocate(capacity float64, demand Rates, floors Floors) Rates {
	var grant Rates
	left := capacity
	for r := range demand {
		grant[r] = min(demand[r], floors[r]*capacity)
		left -= grant[r]
	}
	for r := range demand {
		more := max(min(demand[r]-grant[r], left), 0)
		grant[r] += more
		left -= more
	}
	return grant
}

// Fractions returns granted over demanded work for each rank, 1 where there is
// no demand.
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
