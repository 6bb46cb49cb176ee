// Package leverexplain reads the structured logs of several VMs and tells what
// became of one request, or counts why requests were refused or late.
package leverexplain

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time
	VM   string
	// Part is the part of the process that wrote the line, Sentence what it
	// says.
	Part, Sentence string
	// Fields are all pairs of the line by name.
	Fields map[string]string
}

// Duration returns a field that holds a time, 0 if it holds none.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Fields[name])
	if err != nil {
		return 0
	}
	return d
}

// Read calls f for each line that the product wrote. What stands before the
// time, as a collector may add it, is passed over; so are lines of others.
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
	l.Part, l.Sentence, _ = strings.Cut(l.Fields["msg"], ": ")
	return l, l.Sentence != ""
}
