package leverallow

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// TestMain makes the random histories the same in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// terms are those of the platform's settings.
var terms = Terms{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// simEvent is a call at a time, in order of time and then of creation.
type simEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// sim is a fleet in virtual time with a network that may fail.
type sim struct {
	terms Terms
	rng   *rand.Rand
	now   time.Duration
	seq   int
	queue simQueue
	vms   []*simVM
	byID  map[leverid.VMID]*simVM
	orgs  map[leverid.OrganisationID]Limit
	// admitted holds the times of the requests that ran, and refused and undecided the
	// numbers of the others.
	admitted           map[leverid.OrganisationID][]time.Duration
	refused, undecided map[leverid.OrganisationID]int
	waits              []time.Duration
	// issued is the number of requests.
	issued int
	// loss and copies are the probabilities that a message is lost or copied, maxDelay
	// limits the delay of a message.
	loss, copies       float64
	minDelay, maxDelay time.Duration
	messages           int
	// storeDown is whether no VM has a path to the store.
	storeDown bool
	// naive weakens the VMs, for tests of the tests.
	naive naivety
	// bytes is the size of all messages, if it is counted.
	bytes      int
	countBytes bool
	// disturbed is set at the first fault.
	disturbed bool
	// listed is the number of VMs that the store lists.
	listed int
}

// simVM is one VM. A clock that stands still while the VM is suspended gives its time.
type simVM struct {
	s       *sim
	index   int
	id      leverid.VMID
	client  *Client
	manager *Manager
	up      bool
	boots   uint32
	started time.Duration
	// side is the side of a partition, and frozenUntil ends a freeze.
	side        int
	frozenUntil time.Duration
	// skew is what the VM's clock shows more than the simulation's.
	skew    time.Duration
	waiting []simRequest
	// lostSince is when each other VM became unreachable, listedSince when the VM was
	// added to the list.
	lostSince   map[int]time.Duration
	listedSince time.Duration
	versions    map[leverid.OrganisationID]Limit
	heldList    int
	cached      Fleet
	ticks       int
	// local holds the buckets of a naive version.
	local map[leverid.OrganisationID]*bucket
}

type simRequest struct {
	w    *Waiter
	from time.Duration
}

func newSim(seed uint64, vms int, orgs map[leverid.OrganisationID]Limit) *sim {
	s := &sim{
		terms: terms, rng: rand.New(rand.NewPCG(seed, 7)), orgs: orgs, listed: vms, minDelay: 300 * time.Microsecond, maxDelay: 3 * time.Millisecond,
		byID: make(map[leverid.VMID]*simVM), admitted: make(map[leverid.OrganisationID][]time.Duration), refused: make(map[leverid.OrganisationID]int), undecided: make(map[leverid.OrganisationID]int),
	}
	for range vms {
		s.add(-time.Hour)
	}
	return s
}

// add adds a VM that has been listed since a time.
func (s *sim) add(listedSince time.Duration) *simVM {
	v := &simVM{s: s, index: len(s.vms), id: leverid.VMID(fmt.Sprint("vm", len(s.vms))), lostSince: make(map[int]time.Duration), listedSince: listedSince}
	v.skew = time.Duration(s.rng.IntN(1000)) * time.Second
	s.vms = append(s.vms, v)
	s.byID[v.id] = v
	v.start()
	return v
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.f()
	}
	s.now = until
}

func (s *sim) delay() time.Duration {
	return s.minDelay + time.Duration(s.rng.Int64N(int64(s.maxDelay-s.minDelay)+1))
}

func (v *simVM) clock() time.Time { return time.Unix(1000, 0).Add(v.s.now + v.skew) }

func (v *simVM) frozen() bool { return v.s.now < v.frozenUntil }

// start starts a process.
func (v *simVM) start() {
	v.up, v.started = true, v.s.now
	v.boots++
	boot := uint32(v.index)<<16 | v.boots
	v.client = NewClient(v.s.terms, v.id, boot, v.clock())
	v.manager = NewManager(v.s.terms, boot, func(name leverid.OrganisationID) Limit { return v.limit(name) }, func(g, groups int) leverid.VMID { return v.client.Holder(g, groups, v.clock()) }, v.clock())
	v.waiting = nil
	v.heldList = 0
	v.ticks = 0
	v.local = make(map[leverid.OrganisationID]*bucket)
	boots := v.boots
	v.s.after(time.Duration(v.s.rng.Int64N(int64(tick))), func() { v.tick(boots) })
}

func (v *simVM) kill() {
	v.up = false
	v.waiting = nil
}

func (v *simVM) limit(name leverid.OrganisationID) Limit {
	if l, ok := v.versions[name]; ok {
		return l
	}
	return v.s.orgs[name]
}

// later runs f when the VM is not frozen, unless the process has ended by then.
func (v *simVM) later(d time.Duration, f func()) {
	boots := v.boots
	v.s.after(d, func() {
		if !v.up || v.boots != boots {
			return
		}
		if v.frozen() {
			v.later(v.frozenUntil-v.s.now, f)
			return
		}
		f()
	})
}

func (v *simVM) tick(boots uint32) {
	if !v.up || v.boots != boots {
		return
	}
	if !v.frozen() {
		if v.ticks%fleetTicks == 0 {
			v.client.SetFleet(v.fleet(), v.clock())
			v.manager.Changes(v.clock())
		}
		v.ticks++
		v.send()
	}
	v.s.after(max(tick, v.frozenUntil-v.s.now), func() { v.tick(boots) })
}

// reaches reports whether messages pass between two VMs.
func (v *simVM) reaches(o *simVM) bool { return v.side == o.side }

// current reports whether the VM knows the list: side 0 has a path to the store.
func (v *simVM) current() bool { return v.side == 0 && !v.s.storeDown }

// fleet is what the VM knows: VMs that do not answer for a second are not live.
func (v *simVM) fleet() Fleet {
	if v.current() {
		v.heldList = v.s.listed
	}
	if !v.s.disturbed && v.cached.Listed == v.s.listed && v.current() {
		return v.cached
	}
	f := Fleet{Listed: v.heldList, Current: v.current(), WasListed: v.started-v.listedSince > JoinSilence}
	if v.heldList <= v.index {
		f.Listed = 0
	}
	for _, o := range v.s.vms[:max(v.heldList, v.index+1)] {
		f.List = append(f.List, o.id)
		if o.up && v.reaches(o) && !o.frozen() {
			delete(v.lostSince, o.index)
		} else if _, lost := v.lostSince[o.index]; !lost {
			v.lostSince[o.index] = v.s.now
		}
		since, lost := v.lostSince[o.index]
		if !lost || o.up && v.s.now-since < time.Second {
			f.Ranked = append(f.Ranked, o.id)
		}
	}
	v.cached = f
	return f
}

func (v *simVM) send() {
	for range 4 {
		local := false
		for _, out := range v.client.Due(v.clock()) {
			o := v.s.byID[out.To]
			if o == v {
				local = true
				v.client.Receive(v.id, v.manager.Handle(v.id, out.Message, v.clock()), v.clock())
				v.s.naive.weaken(v.manager, v.client, v.clock())
				continue
			}
			v.s.messages++
			v.transmit(o, out.Message)
		}
		if !local {
			break
		}
	}
	v.collect()
}

// transmit carries a message, or two copies of it.
func (v *simVM) transmit(o *simVM, m *Message) {
	if !o.up {
		v.later(v.s.delay(), func() {
			v.client.Failed(o.id, v.clock())
			v.send()
		})
		return
	}
	for range v.s.arrivals() {
		o.later(v.s.delay(), func() {
			if !v.reaches(o) {
				return
			}
			r := o.manager.Handle(v.id, m, o.clock())
			v.s.naive.weaken(o.manager, v.client, o.clock())
			v.s.count(m, r)
			for range v.s.arrivals() {
				v.later(v.s.delay(), func() {
					if v.reaches(o) {
						v.client.Receive(o.id, r, v.clock())
						v.send()
					}
				})
			}
		})
	}
}

// arrivals returns how often a message arrives.
func (s *sim) arrivals() int {
	switch {
	case s.loss > 0 && s.rng.Float64() < s.loss:
		return 0
	case s.copies > 0 && s.rng.Float64() < s.copies:
		return 2
	}
	return 1
}

// request is a caller's request at the VM.
func (v *simVM) request(name leverid.OrganisationID) {
	if !v.up || v.frozen() {
		return
	}
	v.s.issued++
	if v.s.naive == localBuckets && v.takeLocally(name) {
		v.s.admitted[name] = append(v.s.admitted[name], v.s.now)
		return
	}
	w := v.client.Take(name, v.limit(name), v.clock())
	v.waiting = append(v.waiting, simRequest{w, v.s.now})
	if w.decided() {
		v.collect()
		return
	}
	v.send()
	v.later(replyWait, func() {
		v.client.GiveUp(w, v.clock())
		v.collect()
	})
}

// collect records the requests that have been decided.
func (v *simVM) collect() {
	v.waiting = slices.DeleteFunc(v.waiting, func(r simRequest) bool {
		if !r.w.decided() {
			return false
		}
		name := r.w.Organisation
		v.s.waits = append(v.s.waits, v.s.now-r.from)
		switch d := r.w.Decision; {
		case d.Granted:
			v.s.admitted[name] = append(v.s.admitted[name], v.s.now)
		case d.Undecided:
			v.s.undecided[name]++
		default:
			v.s.refused[name]++
		}
		return true
	})
}

// bound is the greatest number of requests of an organisation in one window.
func (t Terms) bound(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Excess) + t.Slack
}

// most returns the greatest number of times within one span.
func most(at []time.Duration, span time.Duration) (n int, from time.Duration) {
	first := 0
	for i := range at {
		for at[i]-at[first] > span {
			first++
		}
		if i+1-first > n {
			n, from = i+1-first, at[first]
		}
	}
	return n, from
}
