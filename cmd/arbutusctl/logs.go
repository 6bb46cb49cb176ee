package main

import (
	"io"
	"os"
	"time"

	"arbutuslever.dev/lever/internal/leverexplain"
)

// readLogs calls f for each line of all files, or of standard input if none is
// named.
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

// explain tells what became of one request.
type explain struct {
	out  io.Writer
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request" required:"true"`
		Files []string `positional-arg-name:"LOG" description:"log files of the VMs; standard input if none is named"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (e *explain) Execute([]string) error {
	s := &leverexplain.Story{ID: e.Args.ID}
	if err := readLogs(e.Args.Files, s.Add); err != nil {
		return err
	}
	if !s.Found() {
		return exitWith(exitUsage, "no line names the request %q: it ended well without extra attempts, or the logs are of other VMs or times", e.Args.ID)
	}
	return s.Write(e.out)
}

// logsSummary counts why requests ended as they did.
type logsSummary struct {
	out  io.Writer
	From string `long:"from" description:"begin of the stretch, like 2026-12-04T11:00:00Z"`
	To   string `long:"to" description:"end of the stretch"`
	Args struct {
		Files []string `positional-arg-name:"LOG" description:"log files of the VMs; standard input if none is named"`
	} `positional-args:"true"`
}

// Execute runs the command.
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
			return exitWith(exitUsage, "time %q: want the form 2026-12-04T11:00:00Z", bound.text)
		}
		*bound.time = t
	}
	if err := readLogs(l.Args.Files, s.Add); err != nil {
		return err
	}
	return s.Write(l.out)
}
