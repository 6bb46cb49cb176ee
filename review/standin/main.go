// Command standin runs one case of the review: it starts the program's processes
// with stand-ins for the store, the upstreams and the callers, injects the case's
// disruption, and checks one rule from what the stand-ins have seen.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// checkFunc runs a case. It returns what broke the rule, nothing if it held.
type checkFunc func(r *run) ([]string, error)

var cases = map[string]checkFunc{
	"refused": runRefused,
	"poison":  runPoison,
	"drain":   runDrain,
}

// run is one run of a case.
type run struct {
	// trouble says whether the disruption is injected.
	trouble bool
	seed    uint64
	rand    *rand.Rand
	record  *record
	fleet   *fleet
}

func main() { os.Exit(runCase(os.Args[1:])) }

// runCase runs the case named by the first argument and writes its record to the
// folder named by the second.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = s
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", seed: seed, rand: rand.New(rand.NewPCG(seed, seed)), record: rec}
	rec.say("case %s, trouble %t, seed %d", args[0], r.trouble, seed)
	broken, err := r.runWith(cases[args[0]])
	if err != nil {
		rec.say("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.say("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.say("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func (r *run) runWith(check checkFunc) ([]string, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if r.fleet, err = newFleet(dir, r.record); err != nil {
		return nil, err
	}
	defer r.fleet.stop()
	return check(r)
}

// settle is how long a machine must have run undisturbed to count as in touch
// (stableWindowMs), with some time to start.
const settle = 6 * time.Second
