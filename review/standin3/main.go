// Command standin3 runs the scripted cases of the third review: it starts processes of the
// program against stand-ins of the platform, and checks one rule with what they see.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is what the case writes down.
type record struct {
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// at returns the time of an event in seconds since the start.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// scene is what all cases share.
type scene struct {
	*record
	trouble bool
	store   *standin.Store
	address string
}

var cases = map[string]func(s *scene) (int, error){"pause": runPause, "weights": runWeights, "caller": runCaller, "midway": runMidway, "late": runLate, "starved": runStarved}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	s := &scene{record: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", store: &standin.Store{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.address = ln.Addr().String()
	go (&server{&http.Server{Handler: s.store}}).run(ln)
	s.printf("case %s, with the disruption: %t", name, s.trouble)
	status, err := cases[name](s)
	if err != nil {
		s.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.printf("result: %s", map[int]string{held: "held", broken: "BROKEN"}[status])
	return status
}

// config returns a configuration of safe routes, each to one service or split.
func config(version int, services []string, routes ...standin.Route) standin.Config {
	c := standin.Config{Version: version, Routes: routes, Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	for _, s := range services {
		c.Services = append(c.Services, standin.Service{Name: s, MaxConnections: 100})
	}
	return c
}
