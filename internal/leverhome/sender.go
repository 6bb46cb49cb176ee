// Package leverhome routes the calls to each upstream through a single VM, its
// home. Only the home keeps connections to the upstream. It limits concurrent
// calls to the upstream's slots and sends the most urgent call first.
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
	// RouteViaHomes reports whether calls go through homes. If not, each VM
	// calls the upstreams directly.
	RouteViaHomes func() bool
	// Connections returns the maximum number of connections that a home may open
	// to an upstream of the service.
	Connections func(s leverid.ServiceID) int

	mu     sync.Mutex
	queues map[leverdirectory.Key]*queue
}

// Send sends a call to its upstream, directly or through the upstream's home.
func (s *Sender) Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	if !s.RouteViaHomes() {
		return s.Pool.Send(t, call, header, checkHead, done)
	}
	vm, ok := s.home(t.Upstream)
	if !ok || vm.ID == s.Self {
		return s.enqueue(t, call, header, checkHead, done)
	}
	r := newRemoteCall(s, vm, checkHead, done)
	go r.run(t, call)
	return r
}

// home returns the home of an upstream: a live VM in the upstream's failure
// domain, or any live VM if the domain has none.
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

// enqueue adds a call to the upstream's queue on this VM.
func (s *Sender) enqueue(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	t.MaxConnections, t.Placement = s.Connections(t.Upstream.Service), nil
	j := &job{queue: s.queue(t.Upstream.Key()), target: t, call: call, header: header, checkHead: checkHead, done: done}
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
		q = &queue{sender: s, meanTime: initialMeanTime}
		s.queues[k] = q
	}
	return q
}

// Busy returns the number of queued and running calls on this VM.
func (s *Sender) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.queues {
		n += q.calls()
	}
	return n
}

// Retain deletes the empty queues of upstreams for which known returns false.
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
	// initialMeanTime is the assumed duration of a call to an upstream that has
	// not responded to any.
	initialMeanTime = 10 * time.Millisecond
	// meanWeight is the weight of the latest call in the moving average.
	meanWeight = 0.1
	// maxWaitFraction is the fraction of the time to the deadline that a call
	// may spend in the queue. The rest is for the call itself and for a retry.
	maxWaitFraction = 0.25
)
