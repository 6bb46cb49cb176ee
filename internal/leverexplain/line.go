// Package leverexplain analyzes the structured logs of several VMs: it traces
// one request, or counts why requests were refused, partial or late.
package leverexplain

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time time.Time
	VM   string
	// Component is the prefix that names the logging component, Message the
	// text after it.
	Component, Message string
	// Fields holds all fields of the line by key.
	Fields map[string]string
}

// Duration returns the value of a field as a duration, 0 if it isn't one.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Fields[name])
	if err != nil {
		return 0
	}
	return d
}

// Read calls f for each line of r in the format of leverlog. It ignores text
// before the time field, which log collectors may add, and lines of other
// programs.
func Read(r io.Reader, f func(*Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			f(l)
		}
	}
	return errors.Annotate(s.Err(), "read log")
}

func parse(text string) (*Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return nil, false
	}
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
	l := &Line{Fields: make(map[string]string)}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.Fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil {
		return nil, false
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"]); err != nil {
		return nil, false
	}
	l.VM = l.Fields["vm"]
	l.Component, l.Message, _ = strings.Cut(l.Fields["msg"], ": ")
	return l, l.Message != ""
}
