package main

import (
	"io"
	"os"
	"time"

	"arbutuslever.dev/lever/internal/leverexplain"
)

// readLogs calls f for each log line of all files, or of standard input if files
// is empty.
func readLogs(files []string, f func(*leverexplain.Line)) error {
	if len(files) == 0 {
		return leverexplain.Read(os.Stdin, f)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = leverexplain.Read(file, f)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// explain prints the trace of one request.
type explain struct {
	out  io.Writer
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request" required:"true"`
		Files []string `positional-arg-name:"LOG" description:"log files of the VMs; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute reads the logs and prints the trace.
func (e *explain) Execute([]string) error {
	s := &leverexplain.Trace{ID: e.Args.ID}
	if err := readLogs(e.Args.Files, s.Add); err != nil {
		return err
	}
	if !s.Found() {
		return exitErrorf(exitUsage, "no log line mentions the request %q: it succeeded without extra attempts, or the logs are from other VMs or times", e.Args.ID)
	}
	return s.Write(e.out)
}

// logsSummary prints why requests were refused, partial or late, with counts.
type logsSummary struct {
	out  io.Writer
	From string `long:"from" description:"start of the period, like 2026-12-04T11:00:00Z"`
	To   string `long:"to" description:"end of the period"`
	Args struct {
		Files []string `positional-arg-name:"LOG" description:"log files of the VMs; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute reads the logs and prints the summary.
func (l *logsSummary) Execute([]string) error {
	var s leverexplain.Summary
	for _, bound := range []struct {
		text string
		time *time.Time
	}{{l.From, &s.From}, {l.To, &s.To}} {
		if bound.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, bound.text)
		if err != nil {
			return exitErrorf(exitUsage, "time %q is not of the form 2026-12-04T11:00:00Z", bound.text)
		}
		*bound.time = t
	}
	if err := readLogs(l.Args.Files, s.Add); err != nil {
		return err
	}
	return s.Write(l.out)
}
