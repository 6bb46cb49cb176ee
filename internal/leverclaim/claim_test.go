package leverclaim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed of rapid so that runs are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func ledger(m *leverplatform.Memory) *leverclaim.Ledger {
	return &leverclaim.Ledger{Store: m, Timer: &levertimer.Service{}, Retention: func() time.Duration { return time.Hour }, Timeout: 2 * time.Second}
}

// TestLedgersNeverGrantTwice runs three ledgers that compete for three ids in
// a store with faults. At most one nonce may be granted per id, since no claim
// is released.
func TestLedgersNeverGrantTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 40).Draw(rt, "steps")
		var granted map[leverclaim.ID][]leverclaim.Nonce
		synctest.Test(t, func(*testing.T) { granted = race(steps) })
		for id, nonces := range granted {
			if len(nonces) > 1 {
				rt.Fatalf("id %v was granted to %v", id, nonces)
			}
		}
	})
}

// race executes steps, each a change of the store's faults or a claim by one
// of three ledgers. It returns the granted nonces of each id.
func race(steps []int) map[leverclaim.ID][]leverclaim.Nonce {
	m := &leverplatform.Memory{}
	ledgers := []*leverclaim.Ledger{ledger(m), ledger(m), ledger(m)}
	var mu sync.Mutex
	granted := make(map[leverclaim.ID][]leverclaim.Nonce)
	var wg sync.WaitGroup
	for i, step := range steps {
		switch step {
		case 0:
			m.SetFaults(leverplatform.Faults{LoseReplies: 2})
		case 1:
			m.SetFaults(leverplatform.Faults{LoseRequests: 1, StaleReads: 2})
		case 2:
			m.SetFaults(leverplatform.Faults{Down: i%3 == 0, Delay: 10 * time.Millisecond})
		default:
			id := leverclaim.IDOf("s", leverid.RequestID(fmt.Sprint(i%3)))
			nonce := leverclaim.Nonce(i + 1)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				if ledgers[i%3].Claim(ctx, id, nonce) != nil {
					return
				}
				mu.Lock()
				granted[id] = append(granted[id], nonce)
				mu.Unlock()
			})
		}
		if i%4 == 0 {
			time.Sleep(7 * time.Millisecond)
		}
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	return granted
}

// TestClaimsAreBatched checks that concurrent claims of one range share
// writes.
func TestClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &leverplatform.Memory{}
		l := ledger(m)
		var wg sync.WaitGroup
		n := 0
		for i := 0; n < 200; i++ {
			id := leverclaim.IDOf("s", leverid.RequestID(fmt.Sprint(i)))
			if leverclaim.RangeOf(id) != 0 {
				continue
			}
			n++
			wg.Go(func() { is.NoErr(l.Claim(context.Background(), id, 1)) })
		}
		wg.Wait()
		is.True(m.Calls()["put"] <= 3) // 200 claims of one range
		time.Sleep(time.Second)
	})
}

func TestClaimResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &leverplatform.Memory{}
		l, other := ledger(m), ledger(m)
		ctx := context.Background()
		id := leverclaim.IDOf("s", "r")
		is.NoErr(l.Claim(ctx, id, 1))
		is.NoErr(l.Claim(ctx, id, 1)) // the same nonce again
		is.True(errors.Is(other.Claim(ctx, id, 2), leverclaim.ErrTaken))
		is.NoErr(other.Release(ctx, id, 2)) // another nonce's claim is kept
		is.True(errors.Is(l.Claim(ctx, id, 3), leverclaim.ErrTaken))
		is.NoErr(l.Release(ctx, id, 1))
		is.NoErr(l.Claim(ctx, id, 4))
		m.SetFaults(leverplatform.Faults{Down: true})
		is.True(l.Claim(ctx, leverclaim.IDOf("s", "x"), 5) != nil)
		time.Sleep(2 * time.Hour) // claims expire after an hour
		m.SetFaults(leverplatform.Faults{})
		is.NoErr(other.Claim(ctx, id, 6))
		time.Sleep(time.Second)
	})
}

// TestClaimAfterReleaseElsewhere claims an id that another ledger has released.
// The copy of the range that the first ledger holds is then out of date.
func TestClaimAfterReleaseElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &leverplatform.Memory{}
		l, other := ledger(m), ledger(m)
		ctx := context.Background()
		id := leverclaim.IDOf("s", "r")
		is.NoErr(other.Claim(ctx, id, 1))
		is.True(errors.Is(l.Claim(ctx, id, 2), leverclaim.ErrTaken)) // l holds a copy now
		is.NoErr(other.Release(ctx, id, 1))
		is.NoErr(l.Claim(ctx, id, 3))
		is.True(errors.Is(other.Claim(ctx, id, 4), leverclaim.ErrTaken))
		time.Sleep(time.Second)
	})
}

// outageStore loses the reply of its first write and is down from then on.
type outageStore struct{ *leverplatform.Memory }

func (s outageStore) Put(ctx context.Context, k leverid.ObjectKey, v []byte, match leverstore.Revision) (leverstore.Revision, error) {
	s.SetFaults(leverplatform.Faults{LoseReplies: 1})
	rev, err := s.Memory.Put(ctx, k, v, match)
	s.SetFaults(leverplatform.Faults{Down: true})
	return rev, err
}

// TestClaimUnknownThenOutage loses the reply of a write and then the store. The
// claim may be stored, so that the error must not say that it is not.
func TestClaimUnknownThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := ledger(&leverplatform.Memory{})
		l.Store = outageStore{&leverplatform.Memory{}}
		err := l.Claim(t.Context(), leverclaim.IDOf("s", "r"), 1)
		is.True(errors.Is(err, leverclaim.ErrIndeterminate))
		is.True(!errors.Is(err, leverstore.ErrUnavailable))
		time.Sleep(time.Second)
	})
}

// TestRangeFitsObject checks that a full range does not exceed the platform's
// limit on an object's size.
func TestRangeFitsObject(t *testing.T) {
	is := is.New(t)
	var r leverclaim.Range
	n := 0
	for ; ; n++ {
		c := leverclaim.Claim{ID: leverclaim.ID{High: uint64(n), Low: ^uint64(n)}, Nonce: ^leverclaim.Nonce(0), Expires: 1 << 40}
		if err := r.Add(c); err != nil {
			is.True(errors.Is(err, leverclaim.ErrFull))
			break
		}
	}
	b, err := r.Encode()
	is.NoErr(err)
	is.True(len(b) < leverplatform.MaxValue)
	is.Equal(n, len(r.Claims))
}
