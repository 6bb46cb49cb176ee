package leverspread

import (
	"cmp"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Branch is the number of children of a VM in the relay tree.
const Branch = 8

// Tree is the relay tree over a list of VMs. Each VM works it out for itself;
// VMs whose lists differ have trees that differ, which the beats between
// random VMs make good.
type Tree struct {
	order []levermsg.VM
	self  int
}

// NewTree returns the tree over vms as seen from self. The order is a hash of
// the ids, so that the first places fall to VMs of several failure domains.
func NewTree(vms []levermsg.VM, self leverid.VMID) Tree {
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b levermsg.VM) int {
		ha, hb := leverid.Hash("tree", string(a.ID)), leverid.Hash("tree", string(b.ID))
		return cmp.Or(cmp.Compare(ha, hb), cmp.Compare(a.ID, b.ID))
	})
	at := slices.IndexFunc(order, func(v levermsg.VM) bool { return v.ID == self })
	return Tree{order: order, self: at}
}

// Order returns the VMs in the tree's order, the root first. The result is
// shared and must not be changed.
func (t Tree) Order() []levermsg.VM { return t.order }

// Watches reports whether self is one of the n VMs that watch the store.
func (t Tree) Watches(n int) bool { return t.self >= 0 && t.self < n }

// Parent returns the VM above self. It returns false for the root.
func (t Tree) Parent() (levermsg.VM, bool) {
	if t.self <= 0 {
		return levermsg.VM{}, false
	}
	return t.order[(t.self-1)/Branch], true
}

// Children returns the VMs below self.
func (t Tree) Children() []levermsg.VM {
	if t.self < 0 {
		return nil
	}
	first := min(t.self*Branch+1, len(t.order))
	last := min(first+Branch, len(t.order))
	return t.order[first:last]
}

// Neighbours returns parent and children.
func (t Tree) Neighbours() []levermsg.VM {
	out := slices.Clone(t.Children())
	if p, ok := t.Parent(); ok {
		out = append(out, p)
	}
	return out
}

// Other returns the VM at place n of the order, counted around, other than
// self. It returns false if there is no other.
func (t Tree) Other(n int) (levermsg.VM, bool) {
	others := len(t.order)
	if t.self >= 0 {
		others--
	}
	if others < 1 {
		return levermsg.VM{}, false
	}
	i := n % others
	if t.self >= 0 && i >= t.self {
		i++
	}
	return t.order[i], true
}
