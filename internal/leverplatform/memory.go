// Package leverplatform implements a stand-in for the platform: its object API
// and its list of VMs, held in memory, with fault injection. Tests use it
// directly; leverstandin serves it over HTTP.
package leverplatform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

// MaxValue bounds a stored value in bytes.
const MaxValue = 1 << 20

// Faults are the faults that a Memory injects.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay-ns"`
	// LoseReplies is the number of upcoming updates that take effect but whose
	// replies are lost.
	LoseReplies int `json:"lose-after"`
	// LoseRequests is the number of upcoming updates that are lost before they
	// take effect.
	LoseRequests int `json:"lose-before"`
	// StaleReads is the number of upcoming gets and lists that return objects as
	// they were before their last change.
	StaleReads int `json:"old-reads"`
}

// Memory is an in-memory platform that implements leverstore.Store. The zero
// value is empty and ready to use. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	faults  Faults
	rev     leverstore.Revision
	objects map[leverid.ObjectKey]leverstore.Object
	// previous holds the objects as they were before their last change, which
	// stale reads return.
	previous map[leverid.ObjectKey]leverstore.Object
	vms      []levermsg.VM
	vmRev    leverstore.Revision
	// changed is closed and replaced by each change.
	changed chan struct{}
	calls   map[string]int
}

// SetFaults replaces the faults. It also applies to watches in progress.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatchers()
}

// Faults returns the current faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns the number of calls by kind.
func (m *Memory) Calls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int, len(m.calls))
	for k, n := range m.calls {
		out[k] = n
	}
	return out
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []levermsg.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(vms, m.vms) {
		return
	}
	m.vms = slices.Clone(vms)
	m.vmRev++
	m.notifyWatchers()
}

// notifyWatchers wakes the calls that wait for a change.
func (m *Memory) notifyWatchers() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// beginCall counts a call and applies the delay. It fails during an outage.
func (m *Memory) beginCall(ctx context.Context, kind string) error {
	m.mu.Lock()
	if m.calls == nil {
		m.calls = make(map[string]int)
	}
	m.calls[kind]++
	f := m.faults
	m.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Annotate(leverstore.ErrUnavailable, ctx.Err().Error())
		}
	}
	if f.Down {
		return errors.Annotate(leverstore.ErrUnavailable, "outage")
	}
	return nil
}

// Get returns an object.
func (m *Memory) Get(ctx context.Context, key leverid.ObjectKey) (leverstore.Object, error) {
	if err := m.beginCall(ctx, "get"); err != nil {
		return leverstore.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.StaleReads > 0 {
		m.faults.StaleReads--
		if o, ok := m.previous[key]; ok {
			return o, nil
		}
	}
	o, ok := m.objects[key]
	if !ok || o.Deleted {
		return leverstore.Object{}, errors.NotFoundf("object %q", key)
	}
	return o, nil
}

// Put writes an object if its revision is match.
func (m *Memory) Put(ctx context.Context, key leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error) {
	if err := m.beginCall(ctx, "put"); err != nil {
		return 0, updateError(ctx, err)
	}
	if len(value) > MaxValue {
		return 0, errors.Annotatef(leverstore.ErrUnavailable, "value of %d bytes is too large", len(value))
	}
	return m.update(leverstore.Object{Key: key, Value: slices.Clone(value)}, match)
}

// Delete removes an object if its revision is match.
func (m *Memory) Delete(ctx context.Context, key leverid.ObjectKey, match leverstore.Revision) error {
	if err := m.beginCall(ctx, "delete"); err != nil {
		return updateError(ctx, err)
	}
	_, err := m.update(leverstore.Object{Key: key, Deleted: true}, match)
	return err
}

// updateError returns the error of an update that did not begin. If its context
// has ended, the outcome counts as unknown, as it is for a real client.
func updateError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Annotate(leverstore.ErrOutcomeUnknown, err.Error())
	}
	return err
}

func (m *Memory) update(o leverstore.Object, match leverstore.Revision) (leverstore.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LoseRequests > 0 {
		m.faults.LoseRequests--
		return 0, errors.Annotate(leverstore.ErrOutcomeUnknown, "request lost")
	}
	old := m.objects[o.Key]
	if old.Deleted {
		old.Revision = 0
	}
	if old.Revision != match {
		return 0, errors.Annotatef(leverstore.ErrConflict, "object %q is at revision %d, want %d", o.Key, old.Revision, match)
	}
	m.commit(o, old)
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
		return 0, errors.Annotate(leverstore.ErrOutcomeUnknown, "reply lost")
	}
	return m.rev, nil
}

func (m *Memory) commit(o, old leverstore.Object) {
	if m.objects == nil {
		m.objects = make(map[leverid.ObjectKey]leverstore.Object)
		m.previous = make(map[leverid.ObjectKey]leverstore.Object)
	}
	m.rev++
	o.Revision = m.rev
	m.objects[o.Key] = o
	if old.Revision > 0 {
		m.previous[o.Key] = old
	}
	m.notifyWatchers()
}

// List returns the objects whose key begins with prefix.
func (m *Memory) List(ctx context.Context, prefix leverid.ObjectKey) (leverstore.Changes, error) {
	if err := m.beginCall(ctx, "list"); err != nil {
		return leverstore.Changes{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.since(prefix, 0)
	c.Objects = slices.DeleteFunc(c.Objects, func(o leverstore.Object) bool { return o.Deleted })
	if m.faults.StaleReads > 0 {
		m.faults.StaleReads--
		for i, o := range c.Objects {
			if old, ok := m.previous[o.Key]; ok {
				c.Objects[i] = old
			}
		}
	}
	return c, nil
}

// Watch waits up to wait for a change after since to the objects whose key
// begins with prefix.
func (m *Memory) Watch(ctx context.Context, prefix leverid.ObjectKey, since leverstore.Revision, wait time.Duration) (leverstore.Changes, error) {
	if err := m.beginCall(ctx, "watch"); err != nil {
		return leverstore.Changes{}, err
	}
	var out leverstore.Changes
	err := m.waitFor(ctx, wait, func() bool {
		out = m.since(prefix, since)
		return len(out.Objects) > 0
	})
	return out, err
}

// VMs waits up to wait for a list of VMs newer than since.
func (m *Memory) VMs(ctx context.Context, since leverstore.Revision, wait time.Duration) (leverstore.VMList, error) {
	if err := m.beginCall(ctx, "vms"); err != nil {
		return leverstore.VMList{}, err
	}
	var out leverstore.VMList
	err := m.waitFor(ctx, wait, func() bool {
		out = leverstore.VMList{Revision: m.vmRev, VMs: slices.Clone(m.vms)}
		return m.vmRev > since
	})
	return out, err
}

// since returns the objects whose key begins with prefix and that changed after
// since, in key order.
func (m *Memory) since(prefix leverid.ObjectKey, since leverstore.Revision) leverstore.Changes {
	c := leverstore.Changes{Revision: m.rev}
	for k, o := range m.objects {
		if strings.HasPrefix(string(k), string(prefix)) && o.Revision > since {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b leverstore.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return c
}

// waitFor calls done with the lock held, initially and after each change, until
// it returns true, the wait is over, ctx ends or an outage begins.
func (m *Memory) waitFor(ctx context.Context, wait time.Duration, done func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.faults.Down {
			m.mu.Unlock()
			return errors.Annotate(leverstore.ErrUnavailable, "outage")
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		ok, changed := done(), m.changed
		m.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return errors.Annotate(leverstore.ErrUnavailable, ctx.Err().Error())
		}
	}
}
