// Command leversoak runs the program as separate processes on loopback against
// a simulated platform and injects the random faults of a seed from outside the
// processes. It checks the platform's rules with the observations of callers
// and upstreams.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program       string        `long:"program" description:"program to run" default:"target/arbutuslever"`
	Seed          uint64        `long:"seed" description:"first seed of the faults" default:"1"`
	Seeds         int           `long:"seeds" description:"number of consecutive seeds to run" default:"1"`
	VMs           int           `long:"vms" description:"number of VMs" default:"5"`
	Shards        int           `long:"shards" description:"number of shards" default:"6"`
	Callers       int           `long:"callers" description:"number of callers per VM" default:"4"`
	GraceS        int           `long:"grace" description:"grace period of a process that is terminated, in seconds" default:"3"`
	Planned       bool          `long:"planned" description:"inject planned work only: stops, reloads, configurations and drains"`
	Stops         bool          `long:"stops" description:"inject stops of VMs and faults of upstreams only"`
	Blocks        bool          `long:"blocks" description:"inject upstreams that leave or ask for pauses, stops of VMs and sheds only"`
	StrictRevoke  bool          `long:"strict-revoke" description:"let VMs without a path to the store refuse keys, in seeds with organisations"`
	Limits        bool          `long:"limits" description:"give organisations limits"`
	Evacuations   bool          `long:"evacuations" description:"evacuate failure domains, in seeds with organisations"`
	Organisations string        `long:"organisations" description:"let callers use keys of organisations; auto does so for every fourth seed" choice:"auto" choice:"on" choice:"off" default:"auto"`
	Link          time.Duration `long:"link" description:"delay each way between callers and VMs, through a balancer that closes both sides when one closes"`
	VMProcs       int           `long:"vm-procs" description:"GOMAXPROCS of the VMs, 0 for the default"`
	KeepLogs      bool          `long:"keep-logs" description:"keep the VM logs of seeds that pass, too"`
	Duration      time.Duration `long:"length" description:"time during which faults are injected" default:"12s"`
	Faults        string        `long:"faults" description:"numbers of the seed's faults to inject, like 0,3; all if empty"`
	RulesOnly     bool          `long:"rules-only" description:"check only answers, runs and budgets, not times"`
	Shrink        bool          `long:"shrink" description:"reduce the faults of a failed seed to those that still break a rule"`
	Logs          string        `long:"logs" description:"directory for the VM logs of failed seeds" default:"soak-logs"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	failed := 0
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		if !o.runSeed(seed) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", o.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether all rules held.
func (o *options) runSeed(seed uint64) bool {
	all := generateFaults(seed, o)
	chosen, err := selectFaults(all, o.Faults)
	if err != nil {
		fmt.Fprintln(os.Stderr, "leversoak:", err)
		os.Exit(1)
	}
	r := runOnce(o, seed, chosen)
	r.print(os.Stdout)
	if len(r.violations) > 0 && o.Shrink {
		o.shrink(seed, chosen)
	}
	return len(r.violations) == 0
}

// shrink removes each fault without which a rule is still broken, and prints
// the remaining faults.
func (o *options) shrink(seed uint64, faults []fault) {
	for i := 0; i < len(faults); {
		without := append(append([]fault(nil), faults[:i]...), faults[i+1:]...)
		if r := runOnce(o, seed, without); len(r.violations) > 0 {
			faults = without
			continue
		}
		i++
	}
	var numbers []string
	for _, f := range faults {
		numbers = append(numbers, strconv.Itoa(f.number))
	}
	fmt.Printf("seed %d needs the faults %s\n", seed, strings.Join(numbers, ","))
}

func selectFaults(all []fault, numbers string) ([]fault, error) {
	if numbers == "" {
		return all, nil
	}
	var out []fault
	for _, s := range strings.Split(numbers, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 0 || n >= len(all) {
			return nil, fmt.Errorf("fault %q: the seed has the faults 0 to %d", s, len(all)-1)
		}
		out = append(out, all[n])
	}
	return out, nil
}
