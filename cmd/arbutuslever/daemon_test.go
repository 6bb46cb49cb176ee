package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leversettings"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

const (
	// stopDocument shortens the stop to 3 s.
	stopDocument = `{"system": {"stop-wait-ms": 1000, "stop-limit-ms": 2000}}`
	stopTime     = 3 * time.Second
	// stopCallers is the host at which the stopping VM's callers arrive.
	stopCallers = "callers-of-vm-1"
)

// readCounter counts the bytes that the server reads from a connection.
type readCounter struct {
	net.Conn
	n atomic.Int64
}

func (c *readCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// countingListener counts what is read from its connections, in order of arrival.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*readCounter
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, &readCounter{Conn: c})
	return l.conns[len(l.conns)-1], nil
}

func (l *countingListener) newest() *readCounter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[len(l.conns)-1]
}

// stopCall is one request of a caller around a planned stop.
type stopCall struct {
	id   string
	once bool
	at   time.Duration
	conn net.Conn
	// server is the server's end of conn, and before what it had read when the
	// request was sent.
	server *readCounter
	before int64

	// status is 0 if there was no answer.
	status  int
	took    time.Duration
	close   bool
	problem leverapi.Problem
}

// open connects; used connections have carried a request before.
func (c *stopCall) open(n *levertest.Network, l *countingListener, used bool) error {
	var err error
	if c.conn, err = n.Dial(context.Background(), "caller", stopCallers); err != nil {
		return err
	}
	synctest.Wait()
	c.server = l.newest()
	if used {
		probe := *c
		probe.id, probe.once = c.id+"-probe", false
		probe.send()
	}
	c.before = c.server.n.Load()
	return nil
}

func (c *stopCall) send() {
	q := leverapi.Query{RequestID: c.id, Rank: "urgent", DeadlineMS: new(int64)}
	*q.DeadlineMS = 10000
	if c.once {
		q.NotRepeatable, q.Key = true, c.id
	}
	body, err := json.Marshal(q)
	if err != nil {
		panic(err)
	}
	began := time.Now()
	text := fmt.Sprintf("POST /v1/services/portal/query HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	c.status, c.took, c.close = resp.StatusCode, time.Since(began), resp.Close
	if c.status != http.StatusOK {
		// An answer that isn't a problem leaves the run state empty, which
		// the test reports.
		_ = json.Unmarshal(b, &c.problem)
	}
}

func (c *stopCall) run(wg *sync.WaitGroup, begin <-chan struct{}) {
	defer wg.Done()
	<-begin
	time.Sleep(c.at)
	c.send()
}

// TestPlannedStopCutsNoRequest sends requests to a stopping VM until it has
// ended, on connections that are new, idle or in use. Each that it has read must
// be answered, with the run state that is true.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	cases := map[string]struct {
		work time.Duration
		// minServed is the number of requests that must succeed of those sent
		// in the first second.
		minServed int
		// err is the result of the stop. The calls of requests that must not be
		// repeated go on at the upstream after their callers have been answered.
		err error
	}{
		"short requests":           {20 * time.Millisecond, 20, nil},
		"requests of a second":     {time.Second, 1, nil},
		"requests beyond the stop": {20 * time.Second, 0, leverkernel.ErrDrainTimeout},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := levertest.NewSystem(levertest.Options{
					Deployment: levermodel.TwNorth().Scaled(1), VMs: 3, Seed: 1, Document: stopDocument,
				})
				defer s.Close()
				s.WaitReady()
				time.Sleep(2 * time.Second)
				var logs strings.Builder
				ln := &countingListener{Listener: s.Network.Listener(stopCallers)}
				d := &daemon{
					settings: &leversettings.VM{VM: "vm-1"}, log: leverlog.New(&logs, "info", "vm-1"),
					node: s.Nodes()[0], callerListener: ln,
				}
				d.http = d.newServer()
				go d.runServer()
				is.Equal(d.node.Document().System.StopWaitMS, 1000.0)
				var wg sync.WaitGroup
				begin := make(chan struct{})
				var calls []*stopCall
				for at := -200 * time.Millisecond; at < stopTime; at += 50 * time.Millisecond {
					c := &stopCall{id: fmt.Sprintf("id%03d", len(calls)), once: len(calls)%2 == 1, at: at + 200*time.Millisecond}
					is.NoErr(c.open(s.Network, ln, len(calls)%3 > 0))
					calls = append(calls, c)
				}
				s.UpstreamSet.ForEach(func(_ leverid.UpstreamID, m *levermodel.Upstream) {
					m.Set(func(b *levermodel.Behaviour) { b.Median, b.Sigma = test.work, 0 })
				})
				for _, c := range calls {
					wg.Add(1)
					go c.run(&wg, begin)
				}
				close(begin)
				time.Sleep(200*time.Millisecond + time.Millisecond/2)
				began := time.Now()
				if err := d.stop(); !errors.Is(err, test.err) {
					t.Errorf("stop: %v, want %v", err, test.err)
				}
				if took := time.Since(began); took > stopTime+200*time.Millisecond {
					t.Errorf("the stop took %s", took)
				}
				s.Network.Kill(stopCallers)
				wg.Wait()
				ran := make(map[string]bool)
				for _, r := range s.History.Runs() {
					ran[string(r.Request)] = true
				}
				served := 0
				for _, c := range calls {
					sent := c.at - 200*time.Millisecond
					switch {
					case c.status == 0 && (ran[c.id] || c.server.n.Load() > c.before):
						t.Errorf("%s (once %t), sent %s after the stop began: no answer; ran: %t", c.id, c.once, sent, ran[c.id])
					case c.status == http.StatusOK && sent < time.Second:
						served++
					case c.status > 200 && c.problem.RunState == "":
						t.Errorf("%s: status %d without a run state", c.id, c.status)
					case c.status > 200 && c.problem.RunState == leverapi.NotRun && ran[c.id]:
						t.Errorf("%s: refused as not run (%s), but it ran", c.id, c.problem.Reason())
					case c.status > 200 && c.problem.Reason() == "stopping" && c.problem.RetryAfterMS == 0:
						t.Errorf("%s: refused without a retry delay", c.id)
					}
					if c.status > 0 && sent+c.took > 0 && !c.close {
						t.Errorf("%s: answered %s after the stop began without closing the connection", c.id, sent+c.took)
					}
				}
				if served < test.minServed {
					t.Errorf("%d requests of the first second were served, want %d", served, test.minServed)
				}
				if t.Failed() {
					t.Log(logs.String())
				}
			})
		})
	}
}
