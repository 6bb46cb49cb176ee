package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// rareEvery is how often the caller of goodTenant asks, and starvedTime for how long.
	rareEvery   = 2 * time.Second
	starvedTime = 60 * time.Second
	// starvedShare is that of the rule.
	starvedShare = 0.25
	busyTenant   = "east"
)

// runStarved lets a tenant ask now and then for a path that crashes leafs for another tenant
// only, while a third one sends other paths.
func runStarved(s *scene) (int, error) {
	log := &crashLog{}
	f, leafs, err := s.startBoard(log, atOnce)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return failed, err
	}
	var loads []*load
	for i, v := range f.vms {
		l := newLoad(v, i, "/board/", 10, 4, 1500*time.Millisecond)
		l.header = http.Header{"X-Credential": {"key-of-east"}}
		loads = append(loads, l.start())
	}
	time.Sleep(3 * time.Second)
	asked, got := 0, 0
	tick := 0
	for until := time.Now().Add(starvedTime); time.Now().Before(until); tick++ {
		began := time.Now()
		v := f.vms[tick%len(f.vms)]
		id := fmt.Sprintf("bad-%03d", tick)
		x := s.ask(v, id, badTenant)
		s.printf("%s sent %s to %s: %d", badTenant, id, v.name, x)
		if tick%int(rareEvery/retryEvery) == 0 {
			time.Sleep(retryEvery / 2)
			v = f.vms[(tick/2)%len(f.vms)]
			id = fmt.Sprintf("rare-%03d", tick)
			x = s.ask(v, id, goodTenant)
			s.printf("%s sent %s to %s: %d", goodTenant, id, v.name, x)
			asked++
			if x == http.StatusOK {
				got++
			}
		}
		time.Sleep(time.Until(began.Add(retryEvery)))
	}
	all, served := asked, got
	for _, l := range loads {
		for _, x := range l.end() {
			all++
			if x.status == http.StatusOK {
				served++
			}
		}
	}
	arrived := s.recordRuns(leafs)
	for _, l := range loads {
		for _, x := range l.out {
			s.printf("%s sent %s to %s at %s: %d, ran on %d leafs", busyTenant, x.id, x.vm, s.at(x.at), x.status, arrived[x.id])
		}
	}
	var ids []string
	for _, x := range log.list {
		ids = append(ids, x.leaf+" by "+x.id)
	}
	s.printf("%d crashes: %s", len(ids), strings.Join(ids, ", "))
	rare, mean := float64(got)/float64(asked), float64(served)/float64(all)
	s.printf("%s: %d of %d served (%.3f); all: %d of %d (%.3f)", goodTenant, got, asked, rare, served, all, mean)
	if rare < starvedShare*mean {
		return broken, nil
	}
	return held, nil
}
