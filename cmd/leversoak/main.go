// Command leversoak runs the real program as separate processes on loopback,
// against stand-ins of the platform, and injects faults from outside from a
// seed. It checks the platform's rules by what callers and upstreams saw.
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
	Program string        `long:"program" description:"the program to run" default:"target/arbutuslever"`
	Seed    uint64        `long:"seed" description:"seed of the faults" default:"1"`
	Seeds   int           `long:"seeds" description:"number of seeds to play, from the first on" default:"1"`
	VMs     int           `long:"vms" description:"number of VMs" default:"5"`
	Shards  int           `long:"shards" description:"number of shards" default:"6"`
	Callers int           `long:"callers" description:"callers of each VM" default:"2"`
	Length  time.Duration `long:"length" description:"how long faults come" default:"12s"`
	Faults  string        `long:"faults" description:"numbers of the seed's faults to play, like 0,3; all if empty"`
	Rules   bool          `long:"rules-only" description:"judge answers, runs and budgets, and no times"`
	Shrink  bool          `long:"shrink" description:"look for the faults that a broken rule needs"`
	Logs    string        `long:"logs" description:"directory for the VMs' logs of seeds that fail" default:"soak-logs"`
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
		if !o.play(seed) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", o.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// play plays one seed and reports whether all rules held.
func (o *options) play(seed uint64) bool {
	all := drawFaults(seed, o)
	chosen, err := choose(all, o.Faults)
	if err != nil {
		fmt.Fprintln(os.Stderr, "leversoak:", err)
		os.Exit(1)
	}
	r := runOnce(o, seed, chosen)
	r.print(os.Stdout)
	if len(r.broken) > 0 && o.Shrink {
		o.shrink(seed, chosen)
	}
	return len(r.broken) == 0
}

// shrink leaves out one fault after the other as long as a rule is broken
// without it.
func (o *options) shrink(seed uint64, faults []fault) {
	for i := 0; i < len(faults); {
		fewer := append(append([]fault(nil), faults[:i]...), faults[i+1:]...)
		if r := runOnce(o, seed, fewer); len(r.broken) > 0 {
			faults = fewer
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

func choose(all []fault, numbers string) ([]fault, error) {
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
