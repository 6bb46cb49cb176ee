package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// asProgram is the environment variable with which the test binary runs main.
const asProgram = "ARBUTUSLEVER_TEST_AS_PROGRAM"

// programLimit is the overall limit of a test that runs the program.
const programLimit = time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// The ports are chosen by the system.
const (
	entrySettings = `{"node": "vm1", "ip": "127.0.0.1", "platform": {"address": "127.0.0.1:1"}, "bounds": {"graceS": 0.5},
	"listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0", "control": "127.0.0.1:0"}}`
	ownSettings = `{"vm": "vm-1", "failure-domain": "taoyuan", "platform": "http://127.0.0.1:1",
	"caller-listen": "127.0.0.1:0", "peer-listen": "127.0.0.1:0",
	"peer-keys": ["0123456789abcdef"], "operator-keys": ["0123456789abcdef"]}`
)

// faces are the commands that serve, with their settings.
var faces = map[string]string{"entry": entrySettings, defaultCommand: ownSettings}

// program is a run of the program as a process of its own.
type program struct {
	t        *testing.T
	cmd      *exec.Cmd
	settings string
	lines    chan string
	pipe     *os.File
	seen     strings.Builder
}

// startProgram starts a command, whose standard output and error are one pipe.
func startProgram(t *testing.T, command, settings string) *program {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), programLimit)
	t.Cleanup(cancel)
	p := &program{t: t, settings: settings, lines: make(chan string, 1000)}
	args := []string{command}
	if command == defaultCommand {
		args = append(args, "--settings", settings)
	}
	p.cmd = exec.CommandContext(ctx, os.Args[0], args...)
	p.cmd.Env = []string{asProgram + "=1", "ARBUTUSLEVER_BOOT=" + settings}
	r, w, err := os.Pipe()
	is.NoErr(err)
	p.cmd.Stdout, p.cmd.Stderr, p.pipe = w, w, r
	is.NoErr(p.cmd.Start())
	is.NoErr(w.Close())
	go p.runReader()
	return p
}

func (p *program) runReader() {
	defer close(p.lines)
	for s := bufio.NewScanner(p.pipe); s.Scan(); {
		p.lines <- s.Text()
	}
}

// await reads the output until a line has text.
func (p *program) await(text string) {
	p.t.Helper()
	for line := range p.lines {
		p.seen.WriteString(line + "\n")
		if strings.Contains(line, text) {
			return
		}
	}
	p.t.Fatalf("the program ended without %q:\n%s", text, p.seen.String())
}

func (p *program) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			p.t.Fatalf("%v: %v", s, err)
		}
	}
}

// wait waits until the program has ended by itself with status 0.
func (p *program) wait() {
	p.t.Helper()
	if err := p.cmd.Wait(); err != nil {
		for line := range p.lines {
			p.seen.WriteString(line + "\n")
		}
		p.t.Fatalf("the program ended with: %v\n%s", err, p.seen.String())
	}
}

// fifo replaces the file at path by a FIFO, so that reading it lasts until the
// test closes what open returns.
func fifo(t *testing.T, path string) (open func() *os.File) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.RemoveAll(path))
	is.NoErr(syscall.Mkfifo(path, 0o600))
	return func() *os.File {
		// Opening waits for the program to read. At the limit the test reads
		// itself, so that it ends.
		limit := time.AfterFunc(programLimit, func() {
			if f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0); err == nil {
				t.Cleanup(func() { _ = f.Close() })
			}
		})
		defer limit.Stop()
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		is.NoErr(err)
		return f
	}
}

func settingsFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestStopSignalLostBehindReloads sends SIGTERM behind SIGHUPs while a reload is
// in progress, and further signals during the stop.
func TestStopSignalLostBehindReloads(t *testing.T) {
	for command, text := range faces {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			p := startProgram(t, command, settingsFile(t, text))
			p.await("process started")
			open := fifo(t, p.settings)
			p.signal(syscall.SIGHUP)
			reload := open()
			defer func() { _ = reload.Close() }()
			p.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
			p.await("planned stop started")
			p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
			p.await("process stopped")
			p.wait()
		})
	}
}

// TestBrokenOutputEndedTheProcess closes the reader of the logs, after which
// each line is a write to a broken pipe.
func TestBrokenOutputEndedTheProcess(t *testing.T) {
	for command, text := range faces {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			p := startProgram(t, command, settingsFile(t, text))
			p.await("process started")
			is.New(t).NoErr(p.pipe.Close())
			open := fifo(t, p.settings)
			p.signal(syscall.SIGHUP)
			is.New(t).NoErr(open().Close()) // invalid settings, which are logged
			p.signal(syscall.SIGTERM)
			p.wait()
		})
	}
}

// fill ends the reader of the program's output, with a line that is too long for
// it, and fills the pipe.
func (p *program) fill() {
	p.t.Helper()
	is := is.New(p.t)
	raw, err := p.pipe.SyscallConn()
	is.NoErr(err)
	var path string
	is.NoErr(raw.Control(func(fd uintptr) { path = fmt.Sprintf("/proc/self/fd/%d", fd) }))
	w, err := syscall.Open(path, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	is.NoErr(err)
	p.t.Cleanup(func() { _ = syscall.Close(w) })
	read := p.lines
	for {
		_, err := syscall.Write(w, make([]byte, 4096))
		if err == nil {
			continue
		}
		is.Equal(err, syscall.EAGAIN)
		if read == nil {
			return
		}
		if _, ok := <-read; !ok {
			read = nil
		}
	}
}

// TestBlockedOutputHeldTheStop fills the pipe of the logs, which nobody reads
// any more.
func TestBlockedOutputHeldTheStop(t *testing.T) {
	for command, text := range faces {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			p := startProgram(t, command, settingsFile(t, text))
			p.await("process started")
			p.fill()
			p.signal(syscall.SIGHUP, syscall.SIGTERM)
			p.wait()
		})
	}
}

// TestSignalsBeforeTheStart sends signals while the settings are being read.
func TestSignalsBeforeTheStart(t *testing.T) {
	for command, text := range faces {
		t.Run(command+" SIGHUP", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			open := fifo(t, path)
			p := startProgram(t, command, path)
			f := open()
			p.signal(syscall.SIGHUP)
			_, err := f.WriteString(text)
			is.NoErr(err)
			is.NoErr(f.Close())
			p.await("process started")
			p.signal(syscall.SIGTERM)
			p.await("process stopped")
			p.wait()
		})
		t.Run(command+" SIGTERM", func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "settings.json")
			open := fifo(t, path)
			p := startProgram(t, command, path)
			f := open()
			defer func() { _ = f.Close() }()
			p.signal(syscall.SIGTERM)
			p.wait()
		})
	}
}
