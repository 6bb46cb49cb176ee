package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	refusedVMs     = 2
	refusedCallers = 30
	// refusedFor is how long the callers press.
	refusedFor = 60 * time.Second
	// extraFor and extraGap: the leaf sends second copies for 5 s at a time.
	extraFor = 5 * time.Second
	extraGap = time.Second
	// drain is the bound drainMs.
	drain = 3 * time.Second
	// extraShare is the fraction of a leaf's answers that get a second copy.
	extraShare = 0.04
	// linkDelay is the delay between two zones, one way.
	linkDelay  = 1400 * time.Microsecond
	bookingURL = "/timi402/2f"
)

// extraFault decides which answers get a late second copy.
type extraFault struct {
	run   *run
	mu    sync.Mutex
	start time.Time
}

func (e *extraFault) next() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.run.trouble || e.start.IsZero() {
		return false
	}
	return time.Since(e.start)%(extraFor+extraGap) < extraFor && e.run.rand.Float64() < extraShare
}

// runRefused presses two full leaves with requests that must run at most once,
// while one leaf of the two sends late second copies of some answers.
func runRefused(r *run) ([]string, error) {
	f := r.fleet
	led := &ledger{}
	fault := &extraFault{run: r}
	for i := range 2 {
		l := &leaf{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: "kafi81c", slots: 2, queue: 12, maxConns: 26, work: 7 * time.Millisecond, ledger: led, oneWay: linkDelay}
		if i == 0 {
			l.extra = fault.next
		}
		if err := f.startLeaf(l); err != nil {
			return nil, err
		}
	}
	err := f.putConfig([]standin.Route{
		{Name: "r-s4qmv29", Host: host, PathPrefix: "/timi402/", Kind: "unsafe", TimeoutMS: 3000, ObjectiveMS: 1000, Priority: 2, MaxAttempts: 2, Service: "kafi81c"},
	}, []standin.Service{{Name: "kafi81c", MaxConnections: 26}})
	if err != nil {
		return nil, err
	}
	if err := f.startVMs(refusedVMs); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	if err := f.takeAway(f.leaves[1]); err != nil {
		return nil, err
	}
	c := &callers{fleet: f, seed: r.seed}
	fault.mu.Lock()
	fault.start = time.Now()
	fault.mu.Unlock()
	var wg sync.WaitGroup
	until := time.Now().Add(refusedFor)
	for i := range refusedCallers {
		wg.Add(1)
		b := &bookingCaller{callers: c, vm: f.vms[i%len(f.vms)], until: until, done: wg.Done}
		go b.run()
	}
	wg.Wait()
	time.Sleep(time.Second)
	return r.judgeRefused(c.all(), led)
}

// takeAway empties a leaf and takes it away, as planned work.
func (f *fleet) takeAway(l *leaf) error {
	if err := l.register("draining"); err != nil {
		return err
	}
	time.Sleep(2 * drain)
	f.store.Delete("servers", l.id)
	l.crash()
	return nil
}

// bookingCaller sends bookings one after the other.
type bookingCaller struct {
	callers *callers
	vm      *vm
	until   time.Time
	done    func()
}

func (b *bookingCaller) run() {
	defer b.done()
	for time.Now().Before(b.until) {
		x := b.callers.send(b.vm, http.MethodPost, bookingURL, "booking", 3*time.Second)
		if x.status != http.StatusOK {
			time.Sleep(max(x.retryAfter, 10*time.Millisecond))
		}
	}
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (r *run) judgeRefused(sent []exchange, led *ledger) ([]string, error) {
	byID := r.writeTraffic(sent, led)
	statuses := make(map[int]int)
	ok := 0
	var broken []string
	for _, x := range sent {
		statuses[x.status]++
		runs := 0
		for _, a := range byID[x.id] {
			if a.ran {
				runs++
			}
		}
		if x.status == http.StatusOK {
			ok++
		}
		switch {
		case runs > 1:
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran %d times", x.id, runs))
		case runs > 0 && isPromise(x.status):
			broken = append(broken, fmt.Sprintf("REFUSED: request %s was answered %d after %s and has run", x.id, x.status, x.took.Round(time.Microsecond)))
		}
	}
	r.returns(led)
	r.record.say("requests %d by status %v; leaves: answers %d, second copies %d", len(sent), statuses, led.answers, led.extras)
	fmt.Printf("requests %d by status %v; leaves: answers %d, second copies %d\n", len(sent), statuses, led.answers, led.extras)
	if ok == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// returns records how often a request that a leaf had rejected came back to that
// leaf, and how often on the same connection as its next request.
func (r *run) returns(led *ledger) {
	back, ranBack, same, ranSame := 0, 0, 0, 0
	last := make(map[string]arrival)
	for _, a := range led.all() {
		k := a.id + a.leaf
		if b, ok := last[k]; ok {
			back++
			if a.ran {
				ranBack++
			}
			if a.conn == b.conn && a.seq == b.seq+1 {
				same++
				if a.ran {
					ranSame++
				}
			}
		}
		last[k] = a
	}
	r.record.say("came back to the same leaf %d (ran %d), as the next request of the connection %d (ran %d)", back, ranBack, same, ranSame)
	fmt.Printf("came back to the same leaf %d (ran %d), as the next request of the connection %d (ran %d)\n", back, ranBack, same, ranSame)
}
