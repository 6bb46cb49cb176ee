package leverspread

import (
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"
)

// Message is what VMs tell each other. An empty Marks with a Sum is a beat;
// Items carry news.
type Message struct {
	Sum   uint64 `msgpack:"s"`
	Marks []Mark `msgpack:"m"`
	Items []Item `msgpack:"i"`
}

// Reply is the answer to a Message.
type Reply struct {
	// Same says that both hold the same; Marks are the answering VM's
	// otherwise.
	Same  bool   `msgpack:"e"`
	Marks []Mark `msgpack:"m"`
	// Items are newer at the answering VM than the marks asked with.
	Items []Item `msgpack:"i"`
	// Want are the keys whose delta could not be applied.
	Want []leverid.ObjectKey `msgpack:"w"`
}

// Peers sends messages to other VMs.
type Peers interface {
	Exchange(ctx context.Context, vm levermsg.VM, m *Message) (*Reply, error)
}

// Members lists the VMs. The same slice means the same VMs.
type Members interface {
	Live(now time.Time) []levermsg.VM
}

// Spreader keeps the board of one VM up to date. Its exported fields must be
// set before Run.
type Spreader struct {
	Self     leverid.VMID
	Board    *Board
	Peers    Peers
	Members  Members
	Store    leverstore.Store
	Timer    *levertimer.Service
	Counters *leverevent.Counters
	// News is called with each whole item that the board installed, one at a
	// time for each source.
	News func(Item)
	// StoreUp is called with each change of the store's state.
	StoreUp func(up bool)
	// Watchers and Backstop come from the configuration in force.
	Watchers func() int
	Backstop func() time.Duration

	state storeState

	treeMu sync.Mutex
	live   []levermsg.VM
	cached Tree
}

const (
	// beatPeriod is the time between two beats to a neighbour.
	beatPeriod   = time.Second
	beatJitter   = 0.2
	exchangeTime = time.Second
	// otherRange is above every fleet's size.
	otherRange = 1 << 20
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * time.Second
)

// Run starts the loops. They end with ctx.
func (s *Spreader) Run(ctx context.Context) {
	go s.runBeats(ctx)
	go s.runBackstop(ctx)
	for _, p := range []leverid.ObjectKey{leverstore.ConfigKey, leverstore.IndexPrefix, leverstore.CrashKey} {
		w := &watch{spreader: s, prefix: p}
		go w.run(ctx)
	}
	v := &vmWatch{spreader: s}
	go v.run(ctx)
}

// tree returns the tree over the VMs that are live. It is worked out anew only
// when they change.
func (s *Spreader) tree() Tree {
	live := s.Members.Live(s.Timer.Now())
	s.treeMu.Lock()
	defer s.treeMu.Unlock()
	if len(live) == 0 {
		return Tree{self: -1}
	}
	if len(live) != len(s.live) || &live[0] != &s.live[0] {
		s.live = live
		s.cached = NewTree(live, s.Self)
	}
	return s.cached
}

// Offer installs items that came from the store or a local update, and passes
// the news on.
func (s *Spreader) Offer(items []Item) {
	s.install(items, "")
}

// install takes items in and pushes what was news to the neighbours other than
// the one it came from. It returns the keys of deltas that did not apply.
func (s *Spreader) install(items []Item, from leverid.VMID) []leverid.ObjectKey {
	var news []Item
	var want []leverid.ObjectKey
	for _, it := range items {
		old := s.Board.Get(it.Key)
		whole, isNews, missing := s.Board.Install(it)
		if missing {
			want = append(want, it.Key)
		}
		if !isNews {
			continue
		}
		s.News(whole)
		if it.From == 0 {
			it = Delta(old, whole)
		}
		news = append(news, it)
	}
	if len(news) > 0 {
		s.push(news, from)
	}
	return want
}

// push sends news to the neighbours and to one random VM.
func (s *Spreader) push(news []Item, from leverid.VMID) {
	t := s.tree()
	targets := t.Neighbours()
	if vm, ok := t.Other(s.Timer.Pick(otherRange)); ok {
		targets = append(targets, vm)
	}
	seen := map[leverid.VMID]bool{from: true}
	for _, vm := range targets {
		if seen[vm.ID] {
			continue
		}
		seen[vm.ID] = true
		p := &push{spreader: s, vm: vm, items: news}
		go p.run()
	}
}

// push is news on its way to one VM.
type push struct {
	spreader *Spreader
	vm       levermsg.VM
	items    []Item
}

func (p *push) run() {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTime)
	defer cancel()
	s := p.spreader
	s.Counters.Add("spread-pushes", 1)
	r, err := s.Peers.Exchange(ctx, p.vm, &Message{Sum: s.Board.Sum(), Items: p.items})
	if err != nil || len(r.Want) == 0 {
		return
	}
	var whole []Item
	for _, k := range r.Want {
		whole = append(whole, s.Board.Get(k))
	}
	s.Counters.Add("spread-wholes", int64(len(whole)))
	// The beats make good what gets lost here.
	_, _ = s.Peers.Exchange(ctx, p.vm, &Message{Sum: s.Board.Sum(), Items: whole})
}

// Serve answers a peer's message.
func (s *Spreader) Serve(from leverid.VMID, m *Message) *Reply {
	r := &Reply{Want: s.install(m.Items, from)}
	if m.Sum == s.Board.Sum() {
		r.Same = true
		return r
	}
	if m.Marks != nil {
		r.Items, _ = s.Board.Compare(m.Marks)
	}
	if len(m.Items) == 0 {
		r.Marks = s.Board.Marks()
	}
	return r
}

// runBeats compares the board with a neighbour's each second: with the parent
// every other time, with a random VM in between.
func (s *Spreader) runBeats(ctx context.Context) {
	for n := 0; ; n++ {
		if !s.Timer.Sleep(ctx, s.Timer.Jitter(beatPeriod, beatJitter)) {
			return
		}
		t := s.tree()
		vm, ok := t.Parent()
		if n%2 == 1 || !ok {
			vm, ok = t.Other(s.Timer.Pick(otherRange))
		}
		if ok {
			s.Beat(ctx, vm)
		}
	}
}

// Beat compares the board with that of vm and makes both equal.
func (s *Spreader) Beat(ctx context.Context, vm levermsg.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	s.Counters.Add("spread-beats", 1)
	r, err := s.Peers.Exchange(ctx, vm, &Message{Sum: s.Board.Sum()})
	if err != nil {
		return false
	}
	if r.Same {
		return true
	}
	newer, behind := s.Board.Compare(r.Marks)
	if len(newer) == 0 && len(behind) == 0 {
		return true
	}
	m := &Message{Sum: s.Board.Sum(), Items: newer}
	if len(behind) > 0 {
		m.Marks = s.Board.Marks()
	}
	r, err = s.Peers.Exchange(ctx, vm, m)
	if err != nil {
		return false
	}
	s.install(r.Items, vm.ID)
	return true
}
