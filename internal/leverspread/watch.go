package leverspread

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverstore"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	backoffNoise = 0.5
	// idlePause is how often a VM that does not watch looks whether it should.
	idlePause = 500 * time.Millisecond
	// backstopSpread is the store's calls per second that all backstop reads
	// together may take.
	backstopSpread = 4
)

// storeState tells changes of the store's state apart from single failures.
type storeState struct {
	mu   sync.Mutex
	down bool
}

func (s *Spreader) storeAnswered(err error) {
	up := err == nil || errors.Is(err, errors.NotFound)
	s.state.mu.Lock()
	changed := s.state.down == up
	s.state.down = !up
	s.state.mu.Unlock()
	if changed {
		s.StoreUp(up)
	}
}

// canonical brings a JSON value into the form that merge patches produce, so
// that deltas apply to it.
func canonical(value []byte) []byte {
	b, err := jsonpatch.MergePatch(value, []byte("{}"))
	if err != nil {
		return value
	}
	return b
}

func itemOf(o leverstore.Object) Item {
	return Item{Key: o.Key, Revision: o.Revision, Value: canonical(o.Value), Deleted: o.Deleted}
}

func itemsOf(objects []leverstore.Object) []Item {
	items := make([]Item, len(objects))
	for i, o := range objects {
		items[i] = itemOf(o)
	}
	return items
}

// ItemOf returns an object as an item of the board.
func ItemOf(o leverstore.Object) Item { return itemOf(o) }

// backoff is a pause that doubles with each failure.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) sleep(ctx context.Context, s *Spreader) bool {
	b.next = min(max(2*b.next, firstBackoff), maxBackoff)
	return s.Timer.Sleep(ctx, s.Timer.Jitter(b.next, backoffNoise))
}

// watch follows the objects below one prefix while this VM is a watcher.
type watch struct {
	spreader *Spreader
	prefix   leverid.ObjectKey
	since    leverstore.Revision
	listed   bool
}

func (w *watch) run(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if !w.spreader.tree().Watches(w.spreader.Watchers()) {
			w.listed = false
			if !w.spreader.Timer.Sleep(ctx, idlePause) {
				return
			}
			continue
		}
		if err := w.step(ctx); err != nil {
			w.listed = false
			if !pause.sleep(ctx, w.spreader) {
				return
			}
			continue
		}
		pause.reset()
	}
}

// step lists once, then waits for changes.
func (w *watch) step(ctx context.Context) error {
	s := w.spreader
	var c leverstore.Changes
	var err error
	if w.listed {
		c, err = s.Store.Watch(ctx, w.prefix, w.since, watchWait)
	} else {
		c, err = s.Store.List(ctx, w.prefix)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.storeAnswered(err)
	if err != nil {
		return err
	}
	w.listed = true
	w.since = max(w.since, c.Revision)
	s.Offer(itemsOf(c.Objects))
	return nil
}

// vmWatch follows the platform's list of VMs while this VM is a watcher.
type vmWatch struct {
	spreader *Spreader
	since    leverstore.Revision
}

func (w *vmWatch) run(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if !w.spreader.tree().Watches(w.spreader.Watchers()) {
			if !w.spreader.Timer.Sleep(ctx, idlePause) {
				return
			}
			continue
		}
		l, err := w.spreader.Store.VMs(ctx, w.since, watchWait)
		if ctx.Err() != nil {
			return
		}
		w.spreader.storeAnswered(err)
		if err != nil {
			if !pause.sleep(ctx, w.spreader) {
				return
			}
			continue
		}
		pause.reset()
		w.since = max(w.since, l.Revision)
		w.spreader.offerList(l)
	}
}

func (s *Spreader) offerList(l leverstore.VMList) {
	byID := make(map[leverid.VMID]levermsg.VM, len(l.VMs))
	for _, vm := range l.VMs {
		byID[vm.ID] = vm
	}
	b, err := json.Marshal(byID)
	if err != nil {
		return
	}
	s.Offer([]Item{{Key: ListKey, Revision: l.Revision, Value: b}})
}

// ParseList reads the value of the item under ListKey: an object with a member
// for each VM, so that a change of one VM is a short merge patch.
func ParseList(b []byte) ([]levermsg.VM, error) {
	var byID map[leverid.VMID]levermsg.VM
	if err := json.Unmarshal(b, &byID); err != nil {
		return nil, errors.NewNotValid(err, "list of VMs")
	}
	return slices.Collect(maps.Values(byID)), nil
}

// Fetch reads everything from the store once. The error is that of the first
// call that failed; what came before it is installed.
func (s *Spreader) Fetch(ctx context.Context) error {
	for _, p := range []leverid.ObjectKey{leverstore.ConfigKey, leverstore.IndexPrefix, leverstore.CrashKey} {
		c, err := s.Store.List(ctx, p)
		s.storeAnswered(err)
		if err != nil {
			return err
		}
		s.Offer(itemsOf(c.Objects))
	}
	l, err := s.Store.VMs(ctx, 0, 0)
	s.storeAnswered(err)
	if err != nil {
		return err
	}
	s.offerList(l)
	return nil
}

// runBackstop reads the store now and then, so that a VM that no news reaches
// is not behind for ever. The period grows with the fleet.
func (s *Spreader) runBackstop(ctx context.Context) {
	for {
		n := len(s.Members.Live(s.Timer.Now()))
		const calls = 4
		period := max(s.Backstop(), time.Duration(n*calls/backstopSpread)*time.Second)
		if !s.Timer.Sleep(ctx, s.Timer.Jitter(period, backoffNoise)) {
			return
		}
		if s.tree().Watches(s.Watchers()) {
			continue
		}
		s.Counters.Add("spread-backstops", 1)
		// A failure is counted by the store's client; the next turn repeats.
		_ = s.Fetch(ctx)
	}
}
