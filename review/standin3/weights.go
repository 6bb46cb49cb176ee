package main

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// shareWindow and shareOff are those of the rule.
const (
	shareWindow = 200
	shareOff    = 0.2
)

// runWeights changes the weights of a split from percents to fractions.
func runWeights(s *scene) (int, error) {
	for _, service := range []string{"old", "new"} {
		for i := range 3 {
			l := &leaf{id: fmt.Sprintf("%s-%d", service, i), service: service, zone: fmt.Sprintf("z%d", i), slots: 6, work: 20 * time.Millisecond, store: s.store}
			if err := l.listen(); err != nil {
				return failed, err
			}
			if err := l.register("ready"); err != nil {
				return failed, err
			}
		}
	}
	put := func(version int, old, young float64) error {
		s.printf("the operator writes version %d: old %g, new %g", version, old, young)
		return s.store.Put("config", "main", config(version, []string{"old", "new"}, standin.Route{
			Name: "cert", Host: standin.Host, PathPrefix: "/cert/", Kind: "safe", TimeoutMS: 10000, ObjectiveMS: 1200, MaxAttempts: 2,
			Split: []standin.Split{{Service: "old", Weight: old}, {Service: "new", Weight: young}},
		}))
	}
	first := [2]float64{99, 1}
	if !s.trouble {
		first = [2]float64{0.5, 0.5}
	}
	if err := put(3, first[0], first[1]); err != nil {
		return failed, err
	}
	f, err := startFleet(3, s.address, nil)
	defer f.stop()
	if err != nil {
		return failed, err
	}
	var loads []*load
	for i, v := range f.vms {
		loads = append(loads, startLoad(v, i, "/cert/", 8, 4, 3*time.Second))
	}
	time.Sleep(4500 * time.Millisecond)
	if err := put(8, 0.5, 0.5); err != nil {
		return failed, err
	}
	steady := time.Now().Add(configApply)
	time.Sleep(configApply + 16*time.Second)
	var all []sent
	for _, l := range loads {
		all = append(all, l.end()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	var parts []bool
	for _, x := range all {
		s.printf("sent %s %s to %s: %d after %s %s", s.at(x.at), x.id, x.vm, x.status, x.took.Round(time.Millisecond), x.stamp)
		if x.at.After(steady) && x.status == 200 {
			parts = append(parts, strings.HasPrefix(x.stamp, "new."))
		}
	}
	if len(parts) < shareWindow {
		return failed, fmt.Errorf("only %d requests", len(parts))
	}
	worst, n := 0.0, 0
	for i, isNew := range parts {
		if isNew {
			n++
		}
		if i >= shareWindow && parts[i-shareWindow] {
			n--
		}
		if i >= shareWindow-1 {
			worst = max(worst, math.Abs(float64(n)/shareWindow-0.5))
		}
	}
	s.printf("%d requests later than %s after the change; worst %d in a row: a share is %.3f off its weight's", len(parts), configApply, shareWindow, worst)
	if worst > shareOff {
		return broken, nil
	}
	return held, nil
}
