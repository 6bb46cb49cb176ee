package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// fleetSize is the number of machines, removed that of those that leave for good.
	fleetSize, removed = 6, 5
	removeEvery        = time.Second
	// downTime is how long the machines are down in the final fault.
	downTime = time.Second
	// recovery is that of the deployment, recoveredShare that of the rule, and observed
	// how long requests are counted after it.
	recovery       = 15 * time.Second
	recoveredShare = 0.25
	observed       = 45 * time.Second
	// limitPerS and limitBurst are the quota of a tenant, whose callers send perS.
	limitPerS, limitBurst = 40, 20
	perS                  = 8
)

// quotaBounds are those of a deployment with tenants.
var quotaBounds = map[string]any{"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20}

// runShrink removes most machines for good, one after the other, with SIGTERM. Then comes a
// final fault: the processes that are left are killed and start again. The tenants stay far
// below their quotas.
func runShrink(s *scene) (int, error) {
	var leafs []*leaf
	for i := range 3 {
		l := &leaf{id: fmt.Sprintf("i-%d", i), service: "board", zone: fmt.Sprintf("z%d", i), slots: 6, work: 30 * time.Millisecond, store: s.store}
		if err := l.listen(); err != nil {
			return failed, err
		}
		if err := l.register("ready"); err != nil {
			return failed, err
		}
		leafs = append(leafs, l)
	}
	c := config(3, []string{"board"}, standin.Route{
		Name: "board", Host: standin.Host, PathPrefix: "/board/", Kind: "safe", TimeoutMS: 1500, ObjectiveMS: 500, MaxAttempts: 2, Service: "board",
	})
	for _, name := range []string{goodTenant, busyTenant} {
		c.Tenants = append(c.Tenants, standin.Tenant{Name: name, APIKeys: []string{"key-of-" + name}, RatePerS: limitPerS, Burst: limitBurst})
	}
	if err := s.store.Put("config", "main", c); err != nil {
		return failed, err
	}
	f, err := startFleet(fleetSize, s.address, quotaBounds)
	defer f.stop()
	if err != nil {
		return failed, err
	}
	s.printf("%d machines are ready", fleetSize)
	time.Sleep(8 * time.Second)
	var loads []*load
	for i, name := range []string{goodTenant, busyTenant} {
		l := newLoad(f.vms[fleetSize-1], i, "/board/", perS, 3, 1500*time.Millisecond)
		l.header = http.Header{"X-Credential": {"key-of-" + name}}
		loads = append(loads, l.start())
	}
	time.Sleep(5 * time.Second)
	left := f.vms
	if s.trouble {
		left = f.vms[removed:]
		for _, v := range f.vms[:removed] {
			s.printf("%s gets SIGTERM and does not come back", v.name)
			v.signal(syscall.SIGTERM)
			time.Sleep(removeEvery)
		}
		time.Sleep(graceS * time.Second)
	}
	final := time.Now()
	for _, v := range left {
		s.printf("final fault: %s is killed", v.name)
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
	time.Sleep(downTime)
	for _, v := range left {
		if err := v.start(); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	s.printf("%d machines are back", len(left))
	time.Sleep(recovery + observed)
	var all []sent
	for _, l := range loads {
		all = append(all, l.end()...)
	}
	arrived := make(map[string]int)
	for _, l := range leafs {
		for _, a := range l.seen() {
			arrived[a.id]++
		}
	}
	var before, after [2]int
	for _, x := range all {
		s.printf("sent %s to %s at %s: %d after %s, ran on %d leafs", x.id, x.vm, s.at(x.at), x.status, x.took.Round(time.Millisecond), arrived[x.id])
		n := &before
		switch {
		case x.at.After(back.Add(recovery)):
			n = &after
		case x.at.After(final):
			continue
		}
		n[0]++
		if x.status == http.StatusOK {
			n[1]++
		}
	}
	s.printf("before the final fault: %d of %d requests served; later than %s after the machines are back: %d of %d", before[1], before[0], recovery, after[1], after[0])
	share := func(n [2]int) float64 { return float64(n[1]) / float64(max(n[0], 1)) }
	if share(before) >= recoveredShare && share(after) < recoveredShare {
		return broken, nil
	}
	return held, nil
}
