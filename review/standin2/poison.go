package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

func init() { cases["poison"] = runPoison }

const (
	poisonVMs    = 3
	poisonLength = 50 * time.Second
	// poisonPause is the time after which the caller of a request that crashes upstreams
	// sends it again.
	poisonPause = 1500 * time.Millisecond
	// quietPause is the pause of the other callers of the service whose upstreams crash,
	// which has little traffic.
	quietPause = 4 * time.Second
)

// poisonPath is the path of one of the two requests.
func poisonPath(r *review, i int) string {
	name := "poison"
	if !r.trouble {
		name = "plain"
	}
	return fmt.Sprintf("%s%s-%d", standin.PathSlowPost, name, i)
}

// runPoison sends two requests again and again to one VM, each of which crashes the
// upstreams that run it.
func runPoison(r *review) (bool, error) {
	p, err := standin.NewPlatform(4, listen)
	if err != nil {
		return false, err
	}
	defer p.Close()
	crashable(r, p)
	f, err := newFleet(r.program, r.dir, poisonVMs, p.Address("store"), nil)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	// By now each VM is listed.
	time.Sleep(2 * time.Second)
	began := time.Now()
	until := began.Add(poisonLength)
	ids := &atomic.Int64{}
	var wg sync.WaitGroup
	var usual []*loop
	for _, v := range f.vms {
		for i, path := range []string{standin.PathAll, standin.PathOne, standin.PathSlowPost} {
			method, pause := http.MethodGet, usualPause
			if path == standin.PathSlowPost {
				method, pause = http.MethodPost, quietPause
			}
			c := newCaller(r, v, ids)
			c.quiet = true
			usual = append(usual, &loop{caller: c, pause: pause, from: began, until: until, call: func(n int) call {
				return call{method, fmt.Sprintf("%susual-%d-%d-%d", path, v.n, i, n), "b", standin.SlowTimeout, ""}
			}})
		}
	}
	all := usual
	for i := range 2 {
		all = append(all, &loop{
			caller: newCaller(r, f.vms[0], ids), pause: poisonPause, from: began.Add(time.Duration(i) * poisonPause / 2), until: until,
			call: func(int) call {
				return call{http.MethodPost, poisonPath(r, i), "the same body", standin.SlowTimeout, ""}
			},
		})
	}
	for _, l := range all {
		wg.Add(1)
		go l.run(&wg)
	}
	wg.Wait()
	wrong := false
	for i := range 2 {
		wrong = judgePoison(r, p, poisonPath(r, i)) || wrong
	}
	sum := make(map[int]int)
	for _, l := range usual {
		for status, n := range l.statuses {
			sum[status] += n
		}
	}
	r.logf("answers to the other requests by status: %v", sum)
	return wrong, nil
}
