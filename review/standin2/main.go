// Command standin2 runs the cases 6 to 10 of the review: the entry program of the
// deploy file as separate processes, among stand-ins of the platform.
//
//	standin2 CASE PROGRAM RECORD
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the
// case's rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it leaves out the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// review is one run of a case.
type review struct {
	program string
	dir     string
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
}

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(r *review) (bool, error){}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return failed
	}
	file, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	r := &review{program: args[1], trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: bufio.NewWriter(file)}
	defer r.record.Flush()
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(r.dir)
	r.logf("case %s, disruption: %t", args[0], r.trouble)
	wrong, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case wrong:
		r.logf("the rule was broken")
		return broken
	}
	r.logf("the rule held")
	return held
}

// logf adds a line to the record, with the time in seconds since the start.
func (r *review) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}
