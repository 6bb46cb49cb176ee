package leverrelay_test

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"

	"pgregory.net/rapid"
)

// init fixes the seed, so that every run gives the same result. Rare orders of steps need
// more checks than usual.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// modelStore is a store that may come back from a copy.
type modelStore struct {
	era       leverfeed.Era
	number    uint64
	version   leverid.ConfigVersion
	upstreams map[string]leverdirectory.Upstream
	copied    *modelStore
}

func (s *modelStore) revision() leverfeed.Revision { return leverfeed.At(s.era, s.number) }

func (s *modelStore) copy() *modelStore {
	c := *s
	c.upstreams = maps.Clone(s.upstreams)
	return &c
}

// returnFromCopy makes the store what it was when it was copied, in the next era.
func (s *modelStore) returnFromCopy() {
	era, copied := s.era, s.copied
	*s = *copied.copy()
	s.era, s.copied = era+1, copied
}

// modelVM is a VM's copy of the store and what it has passed on.
type modelVM struct {
	*recorder
	// positions are those at other VMs.
	positions [modelVMs]struct{ epoch, seq uint64 }
	config    leverid.ConfigVersion
	// gone are the runs of upstreams that were taken out of use, by when.
	gone map[leverdirectory.Key]time.Time
	used map[leverdirectory.Key]bool
}

const modelVMs = 3

func newModelVM() *modelVM {
	vm := &modelVM{recorder: newRecorder(), gone: make(map[leverdirectory.Key]time.Time), used: make(map[leverdirectory.Key]bool)}
	vm.OnUpstreams = func(list []leverdirectory.Upstream) {
		used := make(map[leverdirectory.Key]bool)
		for _, u := range list {
			if !u.Draining {
				used[u.Key()] = true
			}
		}
		for k := range vm.used {
			if !used[k] {
				vm.gone[k] = time.Now()
			}
		}
		vm.used = used
	}
	return vm
}

// TestReturnModel lets a store come back from copies while VMs read it and follow each
// other in any order. A VM must never go back to an earlier configuration, nor use a run
// of an upstream again that it had taken out of use, before it is settled; and in the end
// all VMs agree with the store.
func TestReturnModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9999), 20, 120).Draw(rt, "steps")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = playReturns(steps) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func playReturns(steps []int) string {
	s := &modelStore{era: 1, number: 1, version: 1, upstreams: make(map[string]leverdirectory.Upstream)}
	s.copied = s.copy()
	var vms [modelVMs]*modelVM
	for i := range vms {
		vms[i] = newModelVM()
	}
	read := func(vm *modelVM) {
		vm.SetConfigs(configs(s.version), s.revision())
		vm.SetUpstreams(maps.Clone(s.upstreams), s.revision())
	}
	follow := func(i, j int) {
		p := &vms[i].positions[j]
		u, _ := vms[j].Since(p.epoch, p.seq)
		vms[i].Merge(u)
		p.epoch, p.seq = u.Epoch, u.Seq
	}
	born, maxVersion := int64(0), s.version
	for _, step := range steps {
		n := step / 10
		name := fmt.Sprint("u", n%4)
		time.Sleep(time.Duration(n%7) * 50 * time.Millisecond)
		switch step % 10 {
		case 0: // an upstream starts
			born++
			s.number++
			s.upstreams[name] = leverdirectory.Upstream{ID: leverid.UpstreamID(name), Born: born}
		case 1: // drains
			if u, ok := s.upstreams[name]; ok {
				s.number++
				u.Draining = true
				s.upstreams[name] = u
			}
		case 2: // leaves
			if _, ok := s.upstreams[name]; ok {
				s.number++
				delete(s.upstreams, name)
			}
		case 3:
			s.number++
			maxVersion++
			s.version = maxVersion
		case 4:
			s.copied = s.copy()
		case 5:
			s.returnFromCopy()
		case 6, 7:
			read(vms[n%modelVMs])
		default:
			if i, j := n%modelVMs, n/modelVMs%modelVMs; i != j {
				follow(i, j)
			}
		}
		for i, vm := range vms {
			if f := vm.check(); f != "" {
				return fmt.Sprintf("VM %d after step %d: %s", i, step, f)
			}
		}
	}
	// The operator writes again what was lost, and all settles.
	s.number++
	s.version = maxVersion
	for _, vm := range vms {
		read(vm)
	}
	time.Sleep(11 * time.Second)
	for i, vm := range vms {
		vm.Settle(time.Now())
		if vm.recorder.config != maxVersion {
			return fmt.Sprintf("VM %d has configuration %d in the end, want %d", i, vm.recorder.config, maxVersion)
		}
		for _, u := range s.upstreams {
			if vm.used[u.Key()] == u.Draining {
				return fmt.Sprintf("VM %d uses %+v in the end: %t", i, u, vm.used[u.Key()])
			}
		}
		for k := range vm.used {
			if u, ok := s.upstreams[string(k.ID)]; !ok || u.Key() != k {
				return fmt.Sprintf("VM %d uses %+v in the end, which is gone", i, k)
			}
		}
	}
	return ""
}

// check returns what is wrong at a VM, or "".
func (vm *modelVM) check() string {
	if vm.recorder.config < vm.config {
		return fmt.Sprintf("configuration %d after %d", vm.recorder.config, vm.config)
	}
	vm.config = vm.recorder.config
	for k := range vm.used {
		if at, ok := vm.gone[k]; ok && time.Since(at) < 10*time.Second {
			return fmt.Sprintf("%+v is in use again %v after it was taken out of use", k, time.Since(at))
		}
	}
	return ""
}
