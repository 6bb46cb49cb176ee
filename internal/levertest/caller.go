package levertest

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/pkg/leverapi"
)

// CallerRequest is a request of a caller. Rank, Deadline and Once have the
// meaning that they have in leverquery.Request; Deadline counts from the time
// of sending.
type CallerRequest struct {
	Service  leverid.ServiceID
	ID       leverid.RequestID
	Rank     leverid.Rank
	Deadline time.Duration
	Once     bool
	Body     string
}

// Send sends a request to a node and adds the exchange to the history.
func (s *System) Send(n *leverkernel.Node, a CallerRequest) leverhistory.Exchange {
	sent := time.Now()
	time.Sleep(s.Deployment.ClientDelay)
	req := &leverquery.Request{
		Service: a.Service, Rank: a.Rank, ID: a.ID, Deadline: sent.Add(a.Deadline), Once: a.Once,
		Body: levermsg.RawJSON(a.Body),
	}
	if a.Once {
		req.Key = string(a.ID)
	}
	lifetime := s.lifetime(n.Self().ID)
	answer, err := n.Engine().Run(lifetime.ctx, req)
	time.Sleep(s.Deployment.ClientDelay)
	x := leverhistory.Exchange{
		Service: a.Service, ID: a.ID, Rank: a.Rank, Once: a.Once, Sent: sent, Took: time.Since(sent),
	}
	if lifetime.ctx.Err() != nil {
		x.Cut = "the VM was killed"
	} else {
		x.Answer, x.Problem = toAPI(a.ID, answer, err)
	}
	s.History.Add(x)
	return x
}

// toAPI converts the result of an engine to the types of the caller API.
func toAPI(id leverid.RequestID, a *leverquery.Answer, err error) (*leverapi.Answer, *leverapi.Problem) {
	var r *leverquery.Refusal
	if errors.As(err, &r) {
		return nil, &leverapi.Problem{
			Type: leverapi.ProblemPrefix + string(r.Reason), Detail: r.Detail,
			RunState: leverapi.RunState(r.Run.String()),
		}
	}
	out := &leverapi.Answer{
		RequestID: string(id), Snapshot: uint64(a.Snapshot), Restarted: a.Restarted, Attempts: a.Attempts,
		Coverage: leverapi.Coverage{Covered: a.Coverage.Covered, Total: a.Coverage.Total},
	}
	for _, m := range a.Coverage.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, int(m))
	}
	for _, m := range a.Coverage.Partial {
		out.Coverage.Partial = append(out.Coverage.Partial, int(m))
	}
	for _, rec := range a.Records {
		out.Records = append(out.Records, leverapi.Record{
			Key: rec.Key, Revision: rec.Revision, Value: json.RawMessage(rec.Value),
		})
	}
	return out, nil
}

// Load is a stream of requests with exponentially distributed gaps.
type Load struct {
	Service leverid.ServiceID
	Rank    leverid.Rank
	// Rate is the mean number of requests per second.
	Rate     float64
	Deadline time.Duration
	Once     bool
	Body     string
	// Start is the delay before the stream starts, and Duration is how long it
	// lasts.
	Start, Duration time.Duration
	// Label is the prefix of the request ids.
	Label string
}

// Run sends the loads and returns when all their requests have ended.
func (s *System) Run(loads ...Load) {
	var wg sync.WaitGroup
	for i, l := range loads {
		r := &stream{system: s, load: l, wg: &wg, number: i, rng: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		wg.Add(1)
		go r.run()
	}
	wg.Wait()
}

// stream sends the requests of a load.
type stream struct {
	system   *System
	load     Load
	wg       *sync.WaitGroup
	number   int
	rng      *rand.Rand
	nextNode atomic.Uint64
}

func (s *stream) run() {
	defer s.wg.Done()
	time.Sleep(s.load.Start)
	end := time.Now().Add(s.load.Duration)
	for n := 0; ; n++ {
		gap := time.Duration(s.rng.ExpFloat64() / s.load.Rate * float64(time.Second))
		time.Sleep(gap)
		if time.Now().After(end) {
			return
		}
		body := s.load.Body
		if body == "" {
			body = fmt.Sprintf(`{"query": "%s-%d-%d"}`, s.load.Label, s.number, n)
		}
		c := &call{stream: s, request: CallerRequest{
			Service: s.load.Service, Rank: s.load.Rank, Deadline: s.load.Deadline, Once: s.load.Once, Body: body,
			ID: leverid.RequestID(fmt.Sprintf("%s-%d-%d", s.load.Label, s.number, n)),
		}}
		s.wg.Add(1)
		go c.run()
	}
}

// selectNode selects ready nodes in rotation, like a load balancer that probes
// readiness.
func (s *stream) selectNode() *leverkernel.Node {
	nodes := s.system.Nodes()
	for range nodes {
		n := nodes[s.nextNode.Add(1)%uint64(len(nodes))]
		if n.Ready() {
			return n
		}
	}
	return nodes[0]
}

// call is a request of a stream.
type call struct {
	stream  *stream
	request CallerRequest
}

func (c *call) run() {
	defer c.stream.wg.Done()
	c.stream.system.Send(c.stream.selectNode(), c.request)
}
