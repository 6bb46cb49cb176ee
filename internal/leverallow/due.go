package leverallow

import (
	"maps"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// due collects the messages that a Client has to send at one time.
type due struct {
	*Client
	now      time.Time
	messages map[leverid.VMID]*Message
	// listed and unconfirmed are the weight of the vote.
	listed      int
	unconfirmed bool
	managers    []leverid.VMID
}

func (d *due) collect() []Outgoing {
	d.managers = make([]leverid.VMID, len(d.loans))
	for g := range d.loans {
		d.managers[g] = d.choose(g, d.now)
	}
	for g := range d.loans {
		d.takeBack(g)
	}
	d.lend()
	d.lookAround()
	d.ask()
	if len(d.messages) == 0 {
		return nil
	}
	var out []Outgoing
	for _, id := range slices.Sorted(maps.Keys(d.messages)) {
		p := d.peer(id)
		p.sent = d.now
		if p.owes.IsZero() {
			p.owes = d.now
		}
		out = append(out, Outgoing{id, d.messages[id]})
	}
	return out
}

// message returns the message to a manager, which is sent.
func (d *due) message(to leverid.VMID) *Message {
	m := d.messages[to]
	if m == nil {
		d.seq++
		p := d.peer(to)
		m = &Message{Boot: d.boot, Seq: d.seq, EchoBoot: p.boot, Echo: p.stamp, Groups: uint8(len(d.loans)), Listed: uint16(d.listed), Unconfirmed: d.unconfirmed}
		d.messages[to] = m
	}
	return m
}

// takeBack asks the holder of a vote that is to be lent to another manager to stop
// counting it.
func (d *due) takeBack(g int) {
	l := &d.loans[g]
	if l.to == "" || l.to == d.managers[g] || !l.held(d.now) || d.now.Sub(l.released) < renewInterval/2 || !d.usable(l.to, d.now) {
		return
	}
	m := d.message(l.to)
	m.Release.add(g)
	l.released, l.releaseSeq = d.now, m.Seq
}

// lend lends the votes that are free, and those whose lease has to be renewed.
func (d *due) lend() {
	for i, id := range d.managers {
		if id == "" || slices.Contains(d.managers[:i], id) {
			continue
		}
		p := d.peer(id)
		var lendable GroupSet
		renew := d.now.Sub(p.lent) >= renewInterval-renewTolerance
		for g := range d.loans {
			l := &d.loans[g]
			if d.managers[g] != id || l.to != id && l.held(d.now) || d.listed == 0 {
				continue
			}
			lendable.add(g)
			renew = renew || l.to != id || l.boot != p.boot
		}
		if !renew {
			continue
		}
		if lendable == 0 || d.now.Sub(p.heard) > freshStamp || p.boot == 0 {
			d.greet(id)
			continue
		}
		m := d.message(id)
		p.lent = d.now
		for g := range d.loans {
			if lendable.has(g) {
				m.Lend.add(g)
				if d.loans[g].lend(id, p.boot, m.Seq, d.terms.Window, d.now) {
					m.Gift.add(g)
				}
				if d.loans[g].first {
					m.First.add(g)
				}
			}
		}
	}
}

// greet sends a message without votes, whose reply has the manager's stamp and sums.
func (d *due) greet(id leverid.VMID) {
	p := d.peer(id)
	pause := renewInterval - renewTolerance
	if p.suspect(d.now) {
		pause = suspectRetry
	}
	if d.now.Sub(p.sent) >= pause {
		d.message(id)
	}
}

// lookAround sends messages to all candidates while a group's manager lacks a majority.
func (d *due) lookAround() {
	for g, id := range d.managers {
		if id != "" && d.peer(id).sum(g, len(d.loans), d.now) >= enoughPercent {
			continue
		}
		for _, other := range d.candidates {
			d.greet(other)
		}
		for _, other := range d.hints {
			if other != "" {
				d.greet(other)
			}
		}
		return
	}
}

// ask asks for tokens for the requests that wait.
func (d *due) ask() {
	if len(d.pending) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.pending)) {
		w := d.pending[name]
		if len(w.queue) == 0 && w.returned.n == 0 {
			delete(d.pending, name)
			continue
		}
		to := d.managers[groupOf(name, len(d.loans))]
		if to == "" || len(w.queue) == 0 && d.messages[to] == nil {
			// Tokens are given back with the next message that renews votes.
			continue
		}
		seq := d.seq + 1
		if m := d.messages[to]; m != nil {
			seq = m.Seq
		}
		if a := w.ask(name, to, seq, d.terms.validity(), d.now); a != nil {
			m := d.message(to)
			m.Asks = append(m.Asks, *a)
		}
	}
}
