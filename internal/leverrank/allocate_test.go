package leverrank_test

import (
	"flag"
	"math"
	"testing"

	"arbutuslever.dev/lever/internal/leverrank"

	"pgregory.net/rapid"
)

// init fixes the seed, so that every run gives the same result.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestAllocate checks the guarantees of an allocation: no rank exceeds its
// demand, each gets its floor, the capacity is used up if there is demand for
// it, and the remainder goes to urgent work first.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var demand leverrank.Rates
		for r := range demand {
			demand[r] = rapid.Float64Range(0, 5000).Draw(t, "demand")
		}
		floors := leverrank.Floors{0, 0.2, 0.07}
		grant := leverrank.Allocate(capacity, demand, floors)
		sum := 0.0
		for r := range grant {
			sum += grant[r]
			if grant[r] < 0 || grant[r] > demand[r]+1e-9 {
				t.Fatalf("rank %d: %g granted of %g", r, grant[r], demand[r])
			}
			if keep := math.Min(demand[r], floors[r]*capacity); grant[r] < keep-1e-9 {
				t.Fatalf("rank %d: %g granted, %g kept by its floor", r, grant[r], keep)
			}
		}
		wanted := demand[0] + demand[1] + demand[2]
		if sum > capacity+1e-6 || sum < math.Min(capacity, wanted)-1e-6 {
			t.Fatalf("%g granted of %g for %g", sum, capacity, wanted)
		}
		if grant[0] < demand[0]-1e-9 && (grant[1] > floors[1]*capacity+1e-9 || grant[2] > floors[2]*capacity+1e-9) {
			t.Fatalf("urgent work is short and others have more than their floors: %v", grant)
		}
	})
}
