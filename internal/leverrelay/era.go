package leverrelay

import (
	"time"

	"arbutuslever.dev/lever/internal/levercopy"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// upstreamHold is how long an upstream that the store lacks is kept after a return: one
// that lives registers again within two seconds.
const upstreamHold = 2200 * time.Millisecond

// The rules of the collections after the store has come back from an older copy.
var (
	// A configuration is never taken back: the operator writes again what was lost.
	configRules = levercopy.Rules[*leverdirectory.Config]{
		Hold: -1, Final: true,
		Stale: func(known *leverdirectory.Config, removed bool, copied *leverdirectory.Config) bool {
			return removed || copied.Version < known.Version
		},
		Equal: func(a, b *leverdirectory.Config) bool { return a.Version == b.Version },
	}
	// A run of an upstream that was gone or draining stays so. Born, the time of its start,
	// tells an earlier run under the same id.
	upstreamRules = levercopy.Rules[leverdirectory.Upstream]{
		Hold: upstreamHold,
		Stale: func(known leverdirectory.Upstream, removed bool, copied leverdirectory.Upstream) bool {
			return copied.Born < known.Born || known.Key() == copied.Key() && (removed || known.Draining && !copied.Draining)
		},
		Equal: func(a, b leverdirectory.Upstream) bool { return a == b },
	}
	// The list of VMs does not shrink: shares of limits depend on its length.
	vmRules = levercopy.Rules[levermsg.VM]{
		Hold:  levercopy.Settle,
		Stale: func(_ levermsg.VM, removed bool, _ levermsg.VM) bool { return removed },
		Equal: func(a, b levermsg.VM) bool { return a == b },
	}
	// Forgetting an evacuation is worse than keeping one for some seconds.
	evacuationRules = levercopy.Rules[leverid.Domain]{
		Hold:  levercopy.Settle,
		Stale: func(_ leverid.Domain, removed bool, _ leverid.Domain) bool { return removed },
		Equal: func(a, b leverid.Domain) bool { return a == b },
	}
)

// Era returns the highest era of the store of which a collection is known, or 0.
func (m *Mirror) Era() leverfeed.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// noteEra passes on a new era of the store, and which VMs have to write their entries
// again. The changes that led there have been published.
func (m *Mirror) noteEra() {
	era := max(m.configs.revision.Era(), m.upstreams.revision.Era(), m.vms.revision.Era(), m.evacuations.revision.Era())
	if era > m.era {
		if m.era != 0 {
			m.returnedAt = time.Now()
		}
		m.era = era
		if m.OnEra != nil {
			m.OnEra(era)
		}
	}
	eras, returned := m.eras(), false
	for i, sent := range m.sentEras {
		returned = returned || sent != 0 && eras[i] != sent
	}
	m.sentEras = eras
	if returned {
		// Changes count from a position of the same era only: the children get the
		// complete collections.
		m.epoch = newEpoch()
		m.notifyWaiters()
	}
	if m.OnLostVMs == nil || m.vms.revision.Era() != m.era {
		return
	}
	var lost, removed []string
	for _, j := range m.vms.returned.Judgements() {
		if j.Missing {
			lost = append(lost, j.Name)
		} else {
			removed = append(removed, j.Name)
		}
	}
	if len(lost)+len(removed) > 0 {
		m.OnLostVMs(m.era, lost, removed)
	}
}

// eras returns the eras of the collections.
func (m *Mirror) eras() [4]leverfeed.Era {
	return [...]leverfeed.Era{m.configs.revision.Era(), m.upstreams.revision.Era(), m.vms.revision.Era(), m.evacuations.revision.Era()}
}

// returnedFor returns how long ago the store came back from an older copy, or 0 if it was
// not lately.
func (m *Mirror) returnedFor() time.Duration {
	if m.returnedAt.IsZero() || time.Since(m.returnedAt) >= levercopy.Settle {
		return 0
	}
	return max(time.Since(m.returnedAt), 1)
}

// adoptReturn takes over what a parent has judged since the store came back.
func (m *Mirror) adoptReturn(u *Update) {
	if u.Returned == 0 || !u.Reset {
		return
	}
	c := changes{configs: m.configs.adopt(&u.Configs, u.Returned), upstreams: m.upstreams.adopt(&u.Upstreams, u.Returned), vms: m.vms.adopt(&u.VMs, u.Returned)}
	if u.Evacuations != nil {
		c.evacuations = m.evacuations.adopt(u.Evacuations, u.Returned)
	}
	if m.returnedFor() == 0 && c != (changes{}) {
		m.returnedAt = time.Now().Add(-u.Returned)
	}
	m.publish(c)
}

// Settle ends the judgements whose time is over.
func (m *Mirror) Settle(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(changes{configs: m.configs.update(now), upstreams: m.upstreams.update(now), vms: m.vms.update(now), evacuations: m.evacuations.update(now)})
}

// Kept returns the number of items that are kept although the store lacks them, and of
// those that do not count although the store has them, because it came back from an older
// copy.
func (m *Mirror) Kept() (held, stale int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, count := range []func() (int, int){m.configs.returned.Count, m.upstreams.returned.Count, m.vms.returned.Count, m.evacuations.returned.Count} {
		h, s := count()
		held, stale = held+h, stale+s
	}
	return held, stale
}
