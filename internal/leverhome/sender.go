// Package leverhome has the calls of each upstream go through one VM, its home.
// The home alone keeps connections to the upstream, sends it no more calls at a
// time than it has slots, and sends the most urgent one first.
package leverhome

import (
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertimer"
)

// Sender sends calls through homes. Its exported fields must be set before its
// first use. It is safe for concurrent use.
type Sender struct {
	Self     leverid.VMID
	Members  *levermember.View
	Peers    *leverpeer.Client
	Pool     *leverpool.Pool
	Protocol leverengine.Protocol
	Timer    *levertimer.Service
	// Homes reports whether calls go through homes; otherwise each VM calls
	// upstreams itself.
	Homes func() bool
	// Connections returns the connections that a home may open to an upstream.
	Connections func(s leverid.ServiceID) int

	mu     sync.Mutex
	queues map[leverdirectory.Key]*queue
}

// Send sends a call to its upstream or to the upstream's home.
func (s *Sender) Send(t leverpool.Target, call *leverpool.Call, stamp func() http.Header, accept func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	if !s.Homes() {
		return s.Pool.Send(t, call, stamp, accept, done)
	}
	vm, ok := s.home(t.Upstream)
	if !ok || vm.ID == s.Self {
		return s.queueUp(t, call, stamp, accept, done)
	}
	r := newRemote(s, vm, accept, done)
	go r.run(t, call)
	return r
}

// home returns the VM through which an upstream is called: one of the upstream's
// failure domain, or any if there is none.
func (s *Sender) home(u *leverdirectory.Upstream) (levermsg.VM, bool) {
	live := s.Members.Live(s.Timer.Now())
	var near []levermsg.VM
	for _, vm := range live {
		if vm.Domain == u.Domain {
			near = append(near, vm)
		}
	}
	if len(near) == 0 {
		near = live
	}
	return levermember.Owner(string(u.ID), near)
}

// queueUp hands a call to the queue of its upstream on this VM.
func (s *Sender) queueUp(t leverpool.Target, call *leverpool.Call, stamp func() http.Header, accept func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	t.MaxConnections = s.Connections(t.Upstream.Service)
	j := &job{queue: s.queue(t.Upstream.Key()), target: t, call: call, stamp: stamp, accept: accept, done: done}
	j.queue.add(j, s.Timer.Now())
	return j
}

func (s *Sender) queue(k leverdirectory.Key) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queues == nil {
		s.queues = make(map[leverdirectory.Key]*queue)
	}
	q := s.queues[k]
	if q == nil {
		q = &queue{sender: s, mean: firstMean}
		s.queues[k] = q
	}
	return q
}

// Busy returns the number of calls that wait or run on this VM.
func (s *Sender) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.queues {
		n += q.calls()
	}
	return n
}

// Retain forgets the queues of upstreams that known refuses and that are empty.
func (s *Sender) Retain(known func(leverdirectory.Key) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, q := range s.queues {
		if !known(k) && q.calls() == 0 {
			delete(s.queues, k)
		}
	}
}

const (
	// firstMean stands for the time of a call of which nothing is known.
	firstMean = 10 * time.Millisecond
	// meanGain is the weight of one more call's time.
	meanGain = 0.1
	// waitPart is the part of the time left that a call may spend waiting: the
	// rest is for the call itself and for another try.
	waitPart = 0.25
)
