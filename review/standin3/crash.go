package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// sharedPath is sent by the callers of both tenants, otherPath by those of goodTenant
	// alone.
	sharedPath = "/board/2f"
	otherPath  = "/board/30"
	badTenant  = "north"
	goodTenant = "south"
	// backAfter is how long a leaf that has crashed is away.
	backAfter = 2500 * time.Millisecond
	// stableWindow is that of the deployment, maxRetries that of the rule, and
	// crashesKnown the number of crashes after which the rule counts.
	stableWindow = 5 * time.Second
	maxRetries   = 3
	crashesKnown = 3
	// retryEvery is how often the caller of badTenant sends its request again.
	retryEvery = time.Second
	// lateEvery is that of a late crash, which is over by then.
	lateEvery  = 2500 * time.Millisecond
	callerTime = 26 * time.Second
	// patience is the deadline that the callers of badTenant state.
	patience = time.Second
	// boardLeafs is the number of leafs of the service without shards, shards that of the
	// shards of the index.
	boardLeafs = 6
	shards     = 12
)

// moment is when a leaf crashes that runs the request.
type moment int

const (
	// atOnce is when it begins to run it, midway when it has sent half of its answer, and
	// late when the caller has stopped waiting: the leaf goes on when its connection closes.
	atOnce moment = iota
	midway
	late
)

// lateAfter is how long the leaf runs the request before a late crash.
const lateAfter = 1800 * time.Millisecond

// fragile is a leaf that the request of one tenant crashes.
type fragile struct {
	leaf
	scene *scene
	when  moment
	// crashes collects the crashes of all leafs.
	crashes *crashLog
}

type crashLog struct {
	mu   sync.Mutex
	list []crashed
}

type crashed struct {
	at       time.Time
	leaf, id string
}

func (c *crashLog) add(x crashed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, x)
}

func (f *fragile) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Tenant") != badTenant {
			f.ServeHTTP(w, r)
			return
		}
		f.mu.Lock()
		f.arrivals = append(f.arrivals, arrival{id: r.Header.Get("X-Request-Id"), at: time.Now(), run: f.born})
		f.mu.Unlock()
		if !f.scene.trouble {
			f.leaf.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get("X-Request-Id")
		switch f.when {
		case midway:
			f.answerHalf(w, id)
		case late:
			time.Sleep(lateAfter)
		}
		f.crashes.add(crashed{time.Now(), f.id, id})
		go (&restart{f}).run()
		panic(http.ErrAbortHandler)
	})
}

// answerHalf sends the head of an answer and half of its body.
func (f *fragile) answerHalf(w http.ResponseWriter, id string) {
	body := standin.Body(id, 2000)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", f.id)
	w.Header().Set("X-Response-Stamp", standin.Stamp(f.service, f.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	// The part that was written leaves before the crash.
	_ = http.NewResponseController(w).Flush()
	time.Sleep(5 * time.Millisecond)
}

// restart ends the run of a leaf and starts another one later, which registers itself.
type restart struct{ *fragile }

func (f *restart) run() {
	f.crash()
	time.Sleep(backAfter)
	if err := f.listenWith(f.handler()); err != nil {
		f.scene.printf("leaf %s could not start again: %v", f.id, err)
		return
	}
	if err := f.register("ready"); err != nil {
		f.scene.printf("leaf %s could not register: %v", f.id, err)
	}
}

// runCaller lets the request of one tenant's caller crash each leaf that runs it, while the
// callers of another tenant send the same path, which is sound for them. With CONTROL=1
// they send another path.
func runCaller(s *scene) (int, error) {
	path := sharedPath
	if os.Getenv("CONTROL") == "1" {
		path = otherPath
	}
	return s.crashLeafs(path, retryEvery, s.startShards)
}

// runMidway lets the leafs crash in the middle of their answer.
func runMidway(s *scene) (int, error) { return s.crashBoard(midway) }

// runLate lets the leafs crash after the caller's deadline.
func runLate(s *scene) (int, error) { return s.crashBoard(late) }

// crashBoard lets the leafs of one service crash. With CONTROL=1 they do so at once.
func (s *scene) crashBoard(when moment) (int, error) {
	if os.Getenv("CONTROL") == "1" {
		when = atOnce
	}
	every := retryEvery
	if when == late {
		every = lateEvery
	}
	return s.crashLeafs(otherPath, every, func(log *crashLog) (*fleet, []*fragile, error) { return s.startBoard(log, when) })
}

// crashLeafs sends the request of badTenant again and again, and goodPath for goodTenant.
func (s *scene) crashLeafs(goodPath string, every time.Duration, start func(*crashLog) (*fleet, []*fragile, error)) (int, error) {
	log := &crashLog{}
	f, leafs, err := start(log)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return failed, err
	}
	var loads []*load
	for i, v := range f.vms {
		l := newLoad(v, i, goodPath, 10, 4, 1500*time.Millisecond)
		l.header = http.Header{"X-Credential": {"key-of-south"}}
		l.fixed = true
		loads = append(loads, l.start())
	}
	time.Sleep(3 * time.Second)
	var bad []sent
	for until, n := time.Now().Add(callerTime), 0; time.Now().Before(until); n++ {
		v := f.vms[n%len(f.vms)]
		conn := standin.Connection{Address: v.front(), Header: http.Header{"X-Credential": {"key-of-north"}}}
		id := fmt.Sprintf("bad-%03d", n)
		x := conn.Send("GET", id, sharedPath, patience)
		conn.Close()
		bad = append(bad, sent{id: id, vm: v.name, at: x.Sent, took: x.Took, status: x.Status})
		s.printf("the caller of %s sends %s to %s at %s: %d after %s", badTenant, id, v.name, s.at(x.Sent), x.Status, x.Took.Round(time.Millisecond))
		time.Sleep(time.Until(x.Sent.Add(every)))
	}
	arrived := s.recordRuns(leafs)
	good, served := 0, 0
	for _, l := range loads {
		for _, x := range l.end() {
			good++
			if x.status == http.StatusOK {
				served++
			}
			s.printf("the caller of %s sent %s to %s at %s: %d after %s", goodTenant, x.id, x.vm, s.at(x.at), x.status, x.took.Round(time.Millisecond))
			s.printf("%s ran on %d leafs", x.id, arrived[x.id])
		}
	}
	s.printf("%s: %d of %d requests served from the start to the end", goodTenant, served, good)
	log.mu.Lock()
	defer log.mu.Unlock()
	sort.Slice(log.list, func(i, j int) bool { return log.list[i].at.Before(log.list[j].at) })
	for _, x := range log.list {
		s.printf("leaf %s crashed at %s by %s", x.leaf, s.at(x.at), x.id)
	}
	if len(log.list) < crashesKnown {
		s.printf("%d crashes", len(log.list))
		return held, nil
	}
	after := log.list[crashesKnown-1].at.Add(stableWindow)
	n := 0
	for _, x := range bad {
		if x.at.After(after) && arrived[x.id] > 0 {
			n++
		}
	}
	s.printf("%d crashes; %d retries that were sent later than %s after the third one reached leafs, %d are allowed", len(log.list), n, stableWindow, maxRetries)
	if n > maxRetries {
		return broken, nil
	}
	return held, nil
}

// startBoard starts the leafs of one service, which the requests of badTenant crash, and
// three machines in front of them.
func (s *scene) startBoard(log *crashLog, when moment) (*fleet, []*fragile, error) {
	var leafs []*fragile
	for i := range boardLeafs {
		f, err := s.startFragile("board", i, log)
		if err != nil {
			return nil, nil, err
		}
		f.when = when
		leafs = append(leafs, f)
	}
	fleet, err := s.startTenants([]string{"board"}, standin.Route{
		Name: "board", Host: standin.Host, PathPrefix: "/board/", Kind: "safe", TimeoutMS: 1500, ObjectiveMS: 500, MaxAttempts: 2, Service: "board",
	})
	return fleet, leafs, err
}

// startShards starts an index of shards, with two leafs each, and three machines in front.
func (s *scene) startShards(log *crashLog) (*fleet, []*fragile, error) {
	var leafs []*fragile
	var services []string
	for k := range shards {
		service := fmt.Sprintf("shard%d", k)
		services = append(services, service)
		for i := range 2 {
			f, err := s.startFragile(service, i, log)
			if err != nil {
				return nil, nil, err
			}
			f.records, f.slots, f.work = true, 2, 7*time.Millisecond
			leafs = append(leafs, f)
		}
	}
	fleet, err := s.startTenants(services, standin.Route{
		Name: "board", Host: standin.Host, PathPrefix: "/board/", Kind: "safe", TimeoutMS: 1000, ObjectiveMS: 100, MaxAttempts: 2,
		Gather: services, TopK: 5, MinShare: 0.75,
	})
	return fleet, leafs, err
}

// startFragile starts a leaf and registers it.
func (s *scene) startFragile(service string, i int, log *crashLog) (*fragile, error) {
	f := &fragile{scene: s, crashes: log}
	f.leaf.id, f.service, f.zone, f.slots, f.work, f.store = fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("z%d", i%3), 6, 40*time.Millisecond, s.store
	if err := f.listenWith(f.handler()); err != nil {
		return nil, err
	}
	return f, f.register("ready")
}

// startTenants writes a configuration with three tenants and starts three machines.
func (s *scene) startTenants(services []string, r standin.Route) (*fleet, error) {
	c := config(3, services, r)
	for _, name := range []string{badTenant, goodTenant, busyTenant} {
		c.Tenants = append(c.Tenants, standin.Tenant{Name: name, APIKeys: []string{"key-of-" + name}})
	}
	if err := s.store.Put("config", "main", c); err != nil {
		return nil, err
	}
	f, err := startFleet(3, s.address, nil)
	if err == nil {
		s.printf("3 machines are ready")
	}
	return f, err
}

// recordRuns writes down where each request of badTenant ran, and returns on how many leafs
// each request did.
func (s *scene) recordRuns(leafs []*fragile) map[string]int {
	arrived := make(map[string]int)
	for _, l := range leafs {
		for _, a := range l.seen() {
			arrived[a.id]++
			if strings.HasPrefix(a.id, "bad-") {
				s.printf("%s ran on leaf %s at %s", a.id, l.id, s.at(a.at))
			}
		}
	}
	return arrived
}

// ask sends the shared path as the caller of a tenant and returns the status, 0 for none.
func (s *scene) ask(v *vm, id, tenant string) int {
	conn := standin.Connection{Address: v.front(), Header: http.Header{"X-Credential": {"key-of-" + tenant}}}
	defer conn.Close()
	return conn.Send("GET", id, sharedPath, patience).Status
}
