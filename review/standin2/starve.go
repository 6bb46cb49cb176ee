package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

func init() { cases["starve"] = runStarve }

const (
	starveVMs = 3
	// silence is how long the store accepts calls and does not answer them, from the
	// start of the VMs on.
	silence = 4500 * time.Millisecond
	// settleTime is the time from the end of the silence until the requests begin, which
	// last for starveLength.
	settleTime   = 20 * time.Second
	starveLength = 30 * time.Second
)

// silentStore is a store that accepts calls and answers none of them while it is silent.
// A connection on which a response is lost returns nothing further.
type silentStore struct {
	store  http.Handler
	silent atomic.Bool
	review *review
}

// ServeHTTP serves one call.
func (s *silentStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodGet {
		s.review.logf("store: %s %s, answered: %t", q.Method, q.URL.Path, !s.silent.Load())
	}
	if s.silent.Load() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.store.ServeHTTP(w, q)
}

// runStarve starts VMs while the store does not answer.
func runStarve(r *review) (bool, error) {
	p, err := standin.NewPlatform(4, listen)
	if err != nil {
		return false, err
	}
	defer p.Close()
	if err := p.RequireKeys(twoTenants); err != nil {
		return false, err
	}
	s := &silentStore{store: p.Store, review: r}
	address, err := p.Serve("silent-store", s)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r.program, r.dir, starveVMs, address, quotaBounds)
	if err != nil {
		return false, err
	}
	defer f.stop()
	s.silent.Store(r.trouble)
	started := time.Now()
	for _, v := range f.vms {
		if err := v.start(r.program); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(started.Add(silence)))
	s.silent.Store(false)
	r.logf("the store answers")
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	r.logf("all VMs are ready")
	time.Sleep(time.Until(started.Add(silence + settleTime)))
	answers := sendAsTenants(r, f.vms, starveLength)
	r.logf("%s", answers)
	r.logf("requests run by upstreams in all, by tenant: %v", runsByTenant(p))
	return answers.starved(), nil
}
