package leverfeed

import "time"

// remove drops an object, or marks it as missing until the hold after an outage
// ends.
func (f *Follower[T]) remove(name string) {
	if f.Timer.Now().Before(f.holdEnd()) {
		f.missing[name] = true
		return
	}
	delete(f.items, name)
	delete(f.missing, name)
}

func (f *Follower[T]) holdEnd() time.Time { return f.reconnectedAt.Add(f.Hold) }

// dropMissing drops the missing objects when the hold has ended. It reports
// whether it dropped any.
func (f *Follower[T]) dropMissing() bool {
	if len(f.missing) == 0 || f.Timer.Now().Before(f.holdEnd()) {
		return false
	}
	for name := range f.missing {
		delete(f.items, name)
	}
	f.Log.Info("dropped objects that are still missing after an outage", "collection", f.Name, "count", len(f.missing))
	clear(f.missing)
	return true
}

// recordReconnect records when the last outage ended.
func (f *Follower[T]) recordReconnect() {
	if f.OutageEnd != nil {
		f.reconnectedAt = f.OutageEnd()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		f.reconnectedAt = f.Timer.Now()
	}
}
