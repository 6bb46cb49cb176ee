package leverarchive_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverarchive"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

var errDown = errors.New("the store is down")

// memoryStore holds records in memory. It is safe for concurrent use if its fields are
// changed by update and read after wait.
type memoryStore struct {
	mu      sync.Mutex
	records map[leverid.Fingerprint]leverarchive.Record
	rev     leverfeed.Revision
	calls   int
	// fails, hangs and loses say whether the next call fails, gets no answer, or is made
	// and gets no answer.
	fails, hangs, loses bool
}

func (s *memoryStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// wait lets d pass and the archives come to rest.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// call begins a call, with the lock held. It returns an error if the call is not made, and what the caller
// gets if it is.
func (s *memoryStore) call(ctx context.Context) (err, answer error) {
	s.calls++
	switch {
	case s.hangs:
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return ctx.Err(), nil
	case s.fails:
		return errDown, nil
	case s.loses:
		return nil, errDown
	}
	return nil, nil
}

func (s *memoryStore) List(ctx context.Context) ([]leverarchive.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err, answer := s.call(ctx); err != nil || answer != nil {
		return nil, errDown
	}
	return slices.Collect(maps.Values(s.records)), nil
}

func (s *memoryStore) Create(ctx context.Context, e levercrash.Entry) (leverarchive.Record, error) {
	return s.write(ctx, e, 0)
}

func (s *memoryStore) Replace(ctx context.Context, e levercrash.Entry, rev leverfeed.Revision) (leverarchive.Record, error) {
	return s.write(ctx, e, rev)
}

func (s *memoryStore) write(ctx context.Context, e levercrash.Entry, rev leverfeed.Revision) (leverarchive.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, answer := s.call(ctx)
	if err != nil {
		return leverarchive.Record{}, err
	}
	if old := s.records[e.Fingerprint]; old.Revision != rev {
		return old, leverarchive.ErrConflict
	}
	s.rev++
	rec := leverarchive.Record{Entry: e, Revision: s.rev}
	s.records[e.Fingerprint] = rec
	return rec, answer
}

func (s *memoryStore) Remove(ctx context.Context, f leverid.Fingerprint, rev leverfeed.Revision) (leverarchive.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, answer := s.call(ctx)
	if err != nil {
		return leverarchive.Record{}, err
	}
	if old := s.records[f]; old.Revision != rev {
		return old, leverarchive.ErrConflict
	}
	delete(s.records, f)
	return leverarchive.Record{}, answer
}

// vm is a VM's levels with an archive that runs until stop is called.
type vm struct {
	guard levercrash.Guard
	*leverarchive.Archive
	read bool
	stop context.CancelFunc
}

func newVM(s leverarchive.Store) *vm {
	v := &vm{}
	timer := &levertimer.Service{}
	v.Archive = &leverarchive.Archive{
		Store: s, Levels: v.guard.Entries, Merge: func(entries []levercrash.Entry) { v.guard.Merge(entries, timer.Now()) },
		OnRead: func() { v.read = true }, Pause: func() time.Duration { return 100 * time.Millisecond },
		Timer: timer, Log: leverlog.New(io.Discard, "info", "vm"),
	}
	var ctx context.Context
	ctx, v.stop = context.WithCancel(context.Background())
	go v.Run(ctx)
	synctest.Wait()
	return v
}

// set gives a content a level for ten minutes.
func (v *vm) set(f leverid.Fingerprint, l levercrash.Level) {
	now := time.Now()
	v.guard.Merge([]levercrash.Entry{{Fingerprint: f, Level: l, Service: "s", Upstream: "u", Since: now, Until: now.Add(10 * time.Minute)}}, now)
	v.Changed()
	synctest.Wait()
}

func (v *vm) level(f leverid.Fingerprint) levercrash.Level {
	l, _ := v.guard.Level(f, time.Now())
	return l
}

// TestArchiveOutlivesVMs guards against levels that are lost with the processes, whatever
// happens to the calls that write and read them, and against records that stay for ever.
func TestArchiveOutlivesVMs(t *testing.T) {
	cases := map[string]func(s *memoryStore, on bool){
		"calm":                   func(*memoryStore, bool) {},
		"the store is down":      func(s *memoryStore, on bool) { s.update(func() { s.fails = on }) },
		"the store is silent":    func(s *memoryStore, on bool) { s.update(func() { s.hangs = on }) },
		"answers are lost":       func(s *memoryStore, on bool) { s.update(func() { s.loses = on }) },
		"another VM writes also": func(s *memoryStore, on bool) { s.update(func() { s.other(on) }) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &memoryStore{records: make(map[leverid.Fingerprint]leverarchive.Record)}
				first := newVM(s)
				is.True(first.read)
				disturb(s, true)
				first.set(7, levercrash.Suspect)
				wait(8 * time.Second)
				disturb(s, false)
				wait(8 * time.Second)
				is.Equal(s.records[7].Entry.Level, levercrash.Suspect)
				first.set(7, levercrash.Barred)
				wait(time.Second)
				first.stop()

				disturb(s, true)
				second := newVM(s)
				wait(3 * time.Second)
				disturb(s, false)
				wait(8 * time.Second)
				is.True(second.read)
				is.Equal(second.level(7), levercrash.Barred)
				is.Equal(second.Len(), 1)
				wait(time.Hour)
				is.Equal(second.level(7), levercrash.Clear)
				is.Equal(len(s.records), 0) // the record of the expired level is removed
				second.stop()
				synctest.Wait()
			})
		})
	}
}

// other makes another VM's record appear beside those that are there.
func (s *memoryStore) other(on bool) {
	if !on {
		return
	}
	s.rev++
	now := time.Now().Round(0)
	s.records[7] = leverarchive.Record{
		Entry: levercrash.Entry{Fingerprint: 7, Level: max(s.records[7].Entry.Level, levercrash.Suspect), Since: now, Until: now.Add(10 * time.Minute)}, Revision: s.rev,
	}
}

// TestCalmArchive guards against calls to the store while no level changes.
func TestCalmArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &memoryStore{records: make(map[leverid.Fingerprint]leverarchive.Record)}
		v := newVM(s)
		wait(time.Hour)
		is.Equal(s.calls, 1) // the list at the start
		v.set(7, levercrash.Barred)
		wait(5 * time.Minute)
		is.Equal(s.calls, 2)
		v.stop()
		synctest.Wait()
	})
}

// TestClearedRecord guards against a content that is suspect again after a restart
// although a trial has succeeded.
func TestClearedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &memoryStore{records: make(map[leverid.Fingerprint]leverarchive.Record)}
		v := newVM(s)
		v.set(7, levercrash.Suspect)
		wait(3 * time.Second)
		is.Equal(len(s.records), 1)
		is.True(v.guard.ClearSuspect(7, time.Now()))
		v.Changed()
		wait(time.Second)
		is.Equal(len(s.records), 0)
		v.stop()
		synctest.Wait()
	})
}

// TestClockOfAnotherVM guards against levels that last for ever, or begin in the future,
// because the clock of the VM that wrote them was wrong.
func TestClockOfAnotherVM(t *testing.T) {
	cases := map[string]struct {
		since, until time.Duration
		want         levercrash.Level
		lasts        time.Duration
	}{
		"right":            {-time.Minute, 9 * time.Minute, levercrash.Barred, 9 * time.Minute},
		"a minute ahead":   {time.Minute, 11 * time.Minute, levercrash.Barred, 11 * time.Minute},
		"years ahead":      {100000 * time.Hour, 100001 * time.Hour, levercrash.Barred, time.Hour},
		"years behind":     {-100001 * time.Hour, -100000 * time.Hour, levercrash.Clear, 0},
		"ends at the dawn": {-1 << 62, -1 << 62, levercrash.Clear, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := time.Now().Round(0)
				s := &memoryStore{records: map[leverid.Fingerprint]leverarchive.Record{7: {
					Entry: levercrash.Entry{Fingerprint: 7, Level: levercrash.Barred, Since: now.Add(c.since), Until: now.Add(c.until)}, Revision: 1,
				}}, rev: 1}
				v := newVM(s)
				is.Equal(v.level(7), c.want)
				if c.lasts > 0 {
					wait(c.lasts - time.Millisecond)
					is.Equal(v.level(7), levercrash.Barred)
					wait(time.Millisecond)
					is.Equal(v.level(7), levercrash.Suspect)
				}
				v.stop()
				synctest.Wait()
			})
		})
	}
}

// TestStoreLosesRecords guards against levels that the store has lost, because it came back
// from an older copy, and that nobody writes again.
func TestStoreLosesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &memoryStore{records: make(map[leverid.Fingerprint]leverarchive.Record)}
		v := newVM(s)
		v.set(7, levercrash.Barred)
		wait(time.Second)
		is.Equal(len(s.records), 1)
		s.update(func() { clear(s.records); s.fails = true })
		v.Reread()
		wait(time.Second)
		s.update(func() { s.fails = false })
		wait(2 * time.Second)
		is.Equal(s.records[7].Entry.Level, levercrash.Barred)
		v.stop()
		synctest.Wait()
	})
}
