package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// sent is a request as its client saw it.
type sent struct {
	id, vm, path string
	at           time.Time
	took         time.Duration
	status       int
	stamp        string
}

// load sends requests to one machine at even intervals, on a few connections.
type load struct {
	vm     *vm
	number int
	path   string
	wait   time.Duration
	conns  int
	every  time.Duration
	// header is added to each request. If fixed is set, all requests have the same path.
	header http.Header
	fixed  bool

	mu   sync.Mutex
	n    int
	out  []sent
	stop chan struct{}
	wg   sync.WaitGroup
}

func newLoad(v *vm, number int, path string, perSecond float64, conns int, wait time.Duration) *load {
	return &load{vm: v, number: number, path: path, wait: wait, conns: conns, every: time.Duration(float64(conns) / perSecond * float64(time.Second)), stop: make(chan struct{})}
}

func startLoad(v *vm, number int, path string, perSecond float64, conns int, wait time.Duration) *load {
	return newLoad(v, number, path, perSecond, conns, wait).start()
}

func (l *load) start() *load {
	for i := range l.conns {
		l.wg.Add(1)
		go l.run(i)
	}
	return l
}

func (l *load) run(i int) {
	defer l.wg.Done()
	c := standin.Connection{Address: l.vm.front(), Header: l.header}
	defer c.Close()
	time.Sleep(l.every * time.Duration(i) / time.Duration(l.conns))
	t := time.NewTicker(l.every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.stop:
			return
		}
		l.mu.Lock()
		l.n++
		id := fmt.Sprintf("m%d-%06d", l.number, l.n)
		l.mu.Unlock()
		path := l.path
		if !l.fixed {
			path += id
		}
		x := c.Send("GET", id, path, l.wait)
		s := sent{id: id, vm: l.vm.name, path: l.path, at: x.Sent, took: x.Took, status: x.Status}
		if x.Header != nil {
			s.stamp = x.Header.Get("X-Response-Stamp")
		}
		l.mu.Lock()
		l.out = append(l.out, s)
		l.mu.Unlock()
		if x.Closed {
			c.Close()
		}
	}
}

func (l *load) end() []sent {
	close(l.stop)
	l.wg.Wait()
	return l.out
}
