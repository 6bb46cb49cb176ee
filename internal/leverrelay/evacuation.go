package leverrelay

import (
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
)

// SetEvacuations replaces the evacuated failure domains by those of the store at rev.
// The first call reports a change even if there are none.
func (m *Mirror) SetEvacuations(items map[string]leverid.Domain, rev leverfeed.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	first := m.evacuations.init()
	m.publish(changes{evacuations: m.evacuations.replace(items, rev, m.seq) || first})
	m.noteEra()
}

// mergeEvacuations applies the evacuations of an update and reports whether they have
// changed. A VM of a build that does not know them sends none, and what is known stays.
func (m *Mirror) mergeEvacuations(u *Update) bool {
	if u.Evacuations == nil {
		return false
	}
	// Until the parent knew them it sent none, so its first change holds all of them.
	first := m.evacuations.init()
	return m.evacuations.merge(*u.Evacuations, u.Reset, m.seq) || first
}

// evacuationsSince returns the changes after seq, or nil if the evacuations are not
// known.
func (m *Mirror) evacuationsSince(seq uint64) *Delta[leverid.Domain] {
	if m.evacuations.byName == nil {
		return nil
	}
	delta := m.evacuations.since(seq)
	return &delta
}
