package main

import (
	"fmt"
	"strings"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// pauseSeconds is what the leaf asks for, and fullFor how long it is full.
	pauseSeconds = 5
	fullFor      = 600 * time.Millisecond
	// downFor is how long the leaf is down, and firstBeat when after its start it first
	// writes its entry. Leafs write about every 1.2 s.
	downFor   = 400 * time.Millisecond
	firstBeat = 700 * time.Millisecond
	// pauseMargin and maxArrivals are those of the rule.
	pauseMargin = 500 * time.Millisecond
	maxArrivals = 2
)

// runPause lets a leaf crash and come back under its id and address. It is full at once and
// asks for a pause, and its entry, with the new time of birth, follows at its next heartbeat.
func runPause(s *scene) (int, error) {
	var leafs []*leaf
	for i := range 2 {
		l := &leaf{id: fmt.Sprintf("i-%d", i), service: "cert", zone: fmt.Sprintf("z%d", i), slots: 2, work: 60 * time.Millisecond, store: s.store}
		if err := l.listen(); err != nil {
			return failed, err
		}
		if err := l.register("ready"); err != nil {
			return failed, err
		}
		leafs = append(leafs, l)
	}
	if err := s.store.Put("config", "main", config(3, []string{"cert"}, standin.Route{
		Name: "cert", Host: standin.Host, PathPrefix: "/cert/", Kind: "safe", TimeoutMS: 10000, ObjectiveMS: 1200, MaxAttempts: 2, Service: "cert",
	})); err != nil {
		return failed, err
	}
	f, err := startFleet(3, s.address, nil)
	defer f.stop()
	if err != nil {
		return failed, err
	}
	s.printf("3 machines are ready")
	var loads []*load
	for i, v := range f.vms {
		loads = append(loads, startLoad(v, i, "/cert/", 9, 4, 3*time.Second))
	}
	time.Sleep(6 * time.Second)
	l := leafs[1]
	if s.trouble {
		l.crash()
		s.printf("leaf %s crashes", l.id)
		time.Sleep(downFor)
	}
	l.pause(fullFor, pauseSeconds)
	if s.trouble {
		if err := l.listen(); err != nil {
			return failed, err
		}
	}
	s.printf("leaf %s, born %d, is full for %s and asks for %d s", l.id, l.born, fullFor, pauseSeconds)
	time.Sleep(firstBeat)
	if s.trouble {
		if err := l.register("ready"); err != nil {
			return failed, err
		}
		s.printf("leaf %s writes its entry, born %d", l.id, l.born)
	}
	time.Sleep(7 * time.Second)
	n := 0
	for _, o := range loads {
		for _, x := range o.end() {
			s.printf("sent %s %s to %s: %d after %s %s", s.at(x.at), x.id, x.vm, x.status, x.took.Round(time.Millisecond), x.stamp)
			n++
		}
	}
	all := l.seen()
	for _, a := range all {
		s.printf("leaf %s: arrival %s %s born %d refused %t", l.id, s.at(a.at), a.id, a.run, !a.refused.IsZero())
	}
	s.printf("%d requests sent", n)
	status, paused := held, 0
	for i, v := range f.vms {
		prefix := fmt.Sprintf("m%d-", i)
		worst, refusedAt := 0, time.Time{}
		for _, r := range all {
			if r.refused.IsZero() || !strings.HasPrefix(r.id, prefix) {
				continue
			}
			paused++
			late := 0
			for _, a := range all {
				if strings.HasPrefix(a.id, prefix) && a.at.After(r.refused.Add(pauseMargin)) && a.at.Before(r.refused.Add(pauseSeconds*time.Second)) {
					late++
				}
			}
			if late > worst {
				worst, refusedAt = late, r.refused
			}
		}
		s.printf("machine %s: at most %d requests reached %s between 0.5 s after a 503 with Retry-After (at %s) and the end of that time", v.name, worst, l.id, s.at(refusedAt))
		if worst > maxArrivals {
			status = broken
		}
	}
	if paused == 0 {
		return failed, fmt.Errorf("no machine was asked for a pause")
	}
	return status, nil
}
