package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	poisonVMs    = 7
	poisonLeaves = 5
	// poisonEvery is how often the caller sends the request again, poisonTimes how
	// often in all.
	poisonEvery = 5 * time.Second
	poisonTimes = 19
	// backAfter is how long a crashed leaf is away.
	backAfter = 3 * time.Second
	// entryLapse is three heartbeats.
	entryLapse = 3600 * time.Millisecond
	// allowedRetries is how many retries of such a request may reach leaves.
	allowedRetries = 3
	poisonURL      = "/timi402/poison/2f"
)

// runPoison sends a request that crashes each leaf again and again, to one
// machine after the other, beside ordinary traffic.
func runPoison(r *run) ([]string, error) {
	f := r.fleet
	p := &poisonPlatform{run: r, led: &ledger{}}
	for range poisonLeaves {
		if err := p.startLeaf(); err != nil {
			return nil, err
		}
	}
	err := f.putConfig([]standin.Route{
		{Name: "r-s4qmv29", Host: host, PathPrefix: "/timi402/", Kind: "unsafe", TimeoutMS: 10000, ObjectiveMS: 1200, Priority: 2, MaxAttempts: 2, Service: "kafi81c"},
	}, []standin.Service{{Name: "kafi81c", MaxConnections: 100}})
	if err != nil {
		return nil, err
	}
	if err := f.startVMs(poisonVMs); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	c := &callers{fleet: f, seed: r.seed}
	var wg sync.WaitGroup
	until := time.Now().Add(poisonTimes * poisonEvery)
	for i := range 2 * poisonVMs {
		wg.Add(1)
		b := &steadyCaller{callers: c, vm: f.vms[i%len(f.vms)], until: until, pause: 700 * time.Millisecond, done: wg.Done}
		go b.run()
	}
	path := poisonURL
	if !r.trouble {
		path = strings.Replace(poisonURL, "poison", "healthy", 1)
	}
	for i := range poisonTimes {
		v := f.vms[i%len(f.vms)]
		next := time.Now().Add(poisonEvery)
		x := c.send(v, http.MethodPost, path, "the same body", 10*time.Second)
		r.record.sayAt(x.sent, "send %d of POST %s to %s, id %s: answered %d after %s", i+1, path, v.name(), x.id, x.status, x.took.Round(time.Millisecond))
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	return r.judgePoison(c.all(), p.led, path)
}

// steadyCaller sends ordinary requests at a steady pace.
type steadyCaller struct {
	callers *callers
	vm      *vm
	until   time.Time
	pause   time.Duration
	done    func()
}

func (b *steadyCaller) run() {
	defer b.done()
	for i := 0; time.Now().Before(b.until); i++ {
		b.callers.send(b.vm, http.MethodPost, fmt.Sprintf("/timi402/ordinary/%d", i), fmt.Sprint("booking ", i), 10*time.Second)
		time.Sleep(b.pause)
	}
}

// poisonPlatform starts leaves and replaces those that crash.
type poisonPlatform struct {
	run *run
	led *ledger

	mu sync.Mutex
	n  int
}

func (p *poisonPlatform) startLeaf() error {
	p.mu.Lock()
	p.n++
	id := fmt.Sprintf("i-%08x", 0x02d9e600+p.n)
	p.mu.Unlock()
	return p.run.fleet.startLeaf(&leaf{
		id: id, service: "kafi81c", slots: 6, queue: 24, maxConns: 100, work: 160 * time.Millisecond, ledger: p.led,
		poison: "poison", onCrash: p.crashed,
	})
}

func (p *poisonPlatform) crashed(l *leaf) {
	p.run.record.say("leaf %s crashes", l.id)
	b := &comeback{platform: p, leaf: l}
	go b.run()
}

// comeback starts a crashed leaf again, as a new incarnation.
type comeback struct {
	platform *poisonPlatform
	leaf     *leaf
}

func (c *comeback) run() {
	time.Sleep(backAfter)
	if err := c.platform.startLeaf(); err != nil {
		c.platform.run.record.say("a leaf could not start again: %v", err)
	}
	time.Sleep(entryLapse - backAfter)
	c.platform.run.fleet.store.Delete("servers", c.leaf.id)
}

func (r *run) judgePoison(sent []exchange, led *ledger, path string) ([]string, error) {
	r.writeTraffic(sent, led)
	var crashes []arrival
	served, failed := 0, 0
	for _, x := range sent {
		switch {
		case x.path == path:
		case x.status == http.StatusOK:
			served++
		default:
			failed++
		}
	}
	for _, a := range led.all() {
		if a.path == poisonURL {
			crashes = append(crashes, a)
			r.record.sayAt(a.at, "arrival %d of the request at leaf %s, id %s, ran %t", len(crashes), a.leaf, a.id, a.ran)
		}
	}
	r.record.say("ordinary requests: %d served, %d not", served, failed)
	fmt.Printf("arrivals of the crashing request %d; ordinary requests: %d served, %d not\n", len(crashes), served, failed)
	if served == 0 {
		return nil, fmt.Errorf("no ordinary request was served")
	}
	late := 0
	for i, a := range crashes {
		if i >= 3 && a.at.Sub(crashes[2].at) > stableWindow {
			late++
		}
	}
	if late <= allowedRetries {
		return nil, nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that had crashed three leaves reached leaves in %d retries later than %s after that; allowed are %d", late, stableWindow, allowedRetries)}, nil
}
