package levercold_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercold"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// fleet returns n VMs, every tenth a strong one, that were listed long ago.
func fleet(n int) (list []levermsg.VM) {
	for i := range n {
		vm := levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm", i)), Power: 0.192, Since: start.Unix() - 1000}
		if i%10 == 0 {
			vm.Power = 1
		}
		list = append(list, vm)
	}
	return list
}

// settled returns the shares of a VM that has known a list for long.
func settled(self leverid.VMID, list []levermsg.VM) *levercold.Shares {
	s := &levercold.Shares{Self: self}
	s.Renew(list, false, start.Add(-10*time.Second))
	s.Renew(list, false, start)
	return s
}

// TestPartsAddUp guards against parts that exceed the total, that leave requests of the
// total to nobody, or that are the same for weak and strong VMs.
func TestPartsAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 7, 73} {
		for _, total := range []int{0, 1, 5, 20, 1000} {
			sum, strong := 0, 0
			for _, vm := range fleet(n) {
				own := settled(vm.ID, fleet(n)).Own("u", total)
				if sum += own; vm.Power == 1 {
					strong += own
				}
			}
			if sum != total {
				t.Errorf("%d VMs have %d of %d requests", n, sum, total)
			}
			if n == 73 && total == 1000 && strong < 300 {
				t.Errorf("the strong VMs have %d of %d requests, with 8 of 20 cores", strong, total)
			}
		}
	}
}

// TestUnlisted guards against VMs that use a share that the others do not count: a new VM
// for a window, a restarted one while calls of its predecessor arrive, one that was
// removed, and one that has had no path, or was frozen, for longer than the lease.
func TestUnlisted(t *testing.T) {
	const s = time.Second
	list := fleet(3)
	joined := append(fleet(3), levermsg.VM{ID: "new", Since: start.Unix()})
	cases := map[string]struct {
		self     leverid.VMID
		list     []levermsg.VM
		founding bool
		// path says until when the VM renews its share, by the second.
		path int
		// valid is from when to when it is valid, in seconds.
		from, to int
	}{
		"restarted":      {"vm0", list, false, 60, 4, 60},
		"new":            {"new", joined, false, 60, 30, 60},
		"founding":       {"new", joined, true, 60, 4, 60},
		"not listed":     {"other", list, false, 60, 60, 60},
		"without a path": {"vm0", list, false, 10, 4, 35},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			shares := &levercold.Shares{Self: c.self}
			for i := range 60 {
				now := start.Add(time.Duration(i) * s)
				if i < c.path {
					shares.Renew(c.list, c.founding, now)
				}
				if got, want := shares.Valid(now), i >= c.from && i < c.to; got != want {
					t.Fatalf("after %d s the share is valid: %t, want %t", i, got, want)
				}
			}
			now := start.Add(100 * s)
			if shares.Renew(c.list, c.founding, now); c.path < 60 && shares.Valid(now) {
				t.Error("the share is valid at once after a time without a path")
			}
		})
	}
}

// TestSharesOfFleet plays random histories of lists: VMs join, leave and are cut from the
// store. The parts that are in use must never add up to more than the total.
func TestSharesOfFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 20
		list := fleet(rapid.IntRange(1, 12).Draw(t, "vms"))
		shares := make(map[leverid.VMID]*levercold.Shares)
		cut := make(map[leverid.VMID]bool)
		known := make(map[leverid.VMID][]levermsg.VM)
		for _, vm := range list {
			shares[vm.ID] = settled(vm.ID, list)
		}
		next := 100
		for i := range rapid.IntRange(10, 200).Draw(t, "seconds") {
			now := start.Add(time.Duration(i) * time.Second)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				id := leverid.VMID(fmt.Sprint("vm", next))
				next++
				list = append(list[:len(list):len(list)], levermsg.VM{ID: id, Power: 0.192, Since: now.Unix()})
				shares[id] = &levercold.Shares{Self: id}
			case 1:
				if len(list) > 1 {
					k := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
					list = append(list[:k:k], list[k+1:]...)
				}
			case 2, 3:
				k := rapid.IntRange(0, len(list)-1).Draw(t, "cut")
				cut[list[k].ID] = !cut[list[k].ID]
			}
			sum := 0
			for id, s := range shares {
				if !cut[id] {
					// A VM learns of a change within 4 s.
					if known[id] == nil || rapid.IntRange(0, 3).Draw(t, "learns") > 0 || i%4 == 0 {
						known[id] = list
					}
					s.Renew(known[id], false, now)
				}
				if s.Valid(now) {
					sum += s.Own("u", total)
				}
			}
			if sum > total {
				t.Fatalf("after %d s the VMs use %d of %d", i, sum, total)
			}
		}
	})
}

// TestUnpowered guards against a list whose entries state no power.
func TestUnpowered(t *testing.T) {
	is := is.New(t)
	sum := 0
	list := []levermsg.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for _, vm := range list {
		sum += settled(vm.ID, list).Own("u", 7)
	}
	is.Equal(sum, 7)
}

// BenchmarkOwn measures the part in a fleet whose list has grown in 20 steps.
func BenchmarkOwn(b *testing.B) {
	s := &levercold.Shares{Self: "vm0"}
	for i := range 20 {
		s.Renew(fleet(53+i), false, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	for i := range b.N {
		s.Own(leverid.UpstreamID(fmt.Sprint(i)), 20)
	}
}
