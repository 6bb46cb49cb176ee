package leverrank

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Allocate divides capacity over the ranks, in work per second. Each rank
// first gets its demand up to its floor; what is left goes to the most urgent
// demand. No rank gets more than its demand.
func Allocate(capacity float64, demand levermsg.RankRates, floors Floors) levermsg.RankRates {
	var grant levermsg.RankRates
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
func Fractions(grant, demand levermsg.RankRates) [leverid.RankCount]float32 {
	var f [leverid.RankCount]float32
	for r := range demand {
		f[r] = 1
		if demand[r] > 0 {
			f[r] = float32(min(grant[r]/demand[r], 1))
		}
	}
	return f
}
