package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	drainVMs = 7
	// drainRate is the number of requests per second of all callers.
	drainRate = 14
	// hangAfter and hangFor say when the leaves hang, hangShare how many of their
	// requests.
	hangAfter = 5 * time.Second
	hangFor   = 9 * time.Second
	hangShare = 0.6
	// drainAfter is when a leaf reports draining. It serves on for servesOn.
	drainAfter = 10 * time.Second
	servesOn   = 8 * time.Second
	drainTotal = 25 * time.Second
)

// hangFault decides which requests hang.
type hangFault struct {
	run   *run
	mu    sync.Mutex
	start time.Time
}

func (h *hangFault) next() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.run.trouble || h.start.IsZero() {
		return false
	}
	since := time.Since(h.start)
	return since >= hangAfter && since < hangAfter+hangFor && h.run.rand.Float64() < hangShare
}

// runDrain empties a leaf while the leaves of its service hang on some requests.
func runDrain(r *run) ([]string, error) {
	f := r.fleet
	led := &ledger{}
	fault := &hangFault{run: r}
	for i := range 2 {
		l := &leaf{
			id: fmt.Sprintf("i-%08x", 0x5a3c0010+i), service: "kafi81c", slots: 2, queue: 12, maxConns: 26, work: 80 * time.Millisecond,
			ledger: led, hang: fault.next,
		}
		if err := f.startLeaf(l); err != nil {
			return nil, err
		}
	}
	err := f.putConfig([]standin.Route{
		{Name: "r-s4qmv29", Host: host, PathPrefix: "/timi402/", Kind: "safe", TimeoutMS: 10000, ObjectiveMS: 1200, Priority: 2, MaxAttempts: 2, Service: "kafi81c"},
	}, []standin.Service{{Name: "kafi81c", MaxConnections: 26}})
	if err != nil {
		return nil, err
	}
	if err := f.startVMs(drainVMs); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	c := &callers{fleet: f, seed: r.seed}
	start := time.Now()
	fault.mu.Lock()
	fault.start = start
	fault.mu.Unlock()
	var wg sync.WaitGroup
	var acked time.Time
	for i := 0; time.Since(start) < drainTotal; i++ {
		wg.Add(1)
		o := &oneCaller{callers: c, vm: f.vms[i%len(f.vms)], done: wg.Done}
		go o.run()
		if acked.IsZero() && time.Since(start) > drainAfter {
			if err := f.leaves[0].register("draining"); err != nil {
				return nil, err
			}
			acked = time.Now()
		}
		time.Sleep(time.Second / drainRate)
	}
	wg.Wait()
	return r.judgeDrain(c.all(), led, f.leaves[0].id, acked)
}

type oneCaller struct {
	callers *callers
	vm      *vm
	done    func()
}

func (o *oneCaller) run() {
	defer o.done()
	o.callers.send(o.vm, http.MethodGet, bookingURL, "", 10*time.Second)
}

func (r *run) judgeDrain(sent []exchange, led *ledger, id string, acked time.Time) ([]string, error) {
	r.writeTraffic(sent, led)
	byID := make(map[string]exchange)
	statuses := make(map[int]int)
	for _, x := range sent {
		byID[x.id] = x
		statuses[x.status]++
	}
	var broken []string
	for _, a := range led.all() {
		if a.leaf != id || a.at.Before(acked) {
			continue
		}
		x := byID[a.id]
		r.record.sayAt(a.at, "request %s, sent to %s at %.3f s, reaches the draining leaf %s %s after its acknowledgement", a.id, x.vm,
			x.sent.Sub(r.record.start).Seconds(), a.leaf, a.at.Sub(acked).Round(time.Millisecond))
		if since := a.at.Sub(acked); since > drain && since < servesOn {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached leaf %s %s after its draining was acknowledged", a.id, a.leaf, since.Round(time.Millisecond)))
		}
	}
	fmt.Printf("requests %d by status %v\n", len(sent), statuses)
	r.record.say("requests %d by status %v", len(sent), statuses)
	if statuses[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
