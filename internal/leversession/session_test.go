package leversession_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverport"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the directory that holds the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lever-session")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/arbutuslever", "../../cmd/arbutusctl", "../../cmd/leverstandin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// TestSessions runs each script of testdata against processes of its own.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"retry":     retryCommand,
			"vm":        controlVM,
			"faults":    setFaults,
			"confirmed": awaitInForce,
		},
		UpdateScripts: os.Getenv("UPDATE") != "",
	})
}

// system holds the processes of a session.
type system struct {
	dir   string
	port  int
	procs map[string]*exec.Cmd
}

type systemKey struct{}

const vmCount = 3

func setup(env *testscript.Env) error {
	s := &system{dir: filepath.Join(env.WorkDir, "system"), procs: make(map[string]*exec.Cmd)}
	if err := os.Mkdir(s.dir, 0o755); err != nil {
		return err
	}
	env.Defer(s.killAll)
	env.Values[systemKey{}] = s
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("ARBUTUS_KEY", "operator-key-for-trials-only")
	env.Setenv("USER", "ops")
	for try := 0; ; try++ {
		err := s.startAll(env)
		if !errors.Is(err, errPortTaken) || try == maxSetupRetries {
			return err
		}
		// Another process has taken a port after it was found free.
		s.killAll()
	}
}

// maxSetupRetries is the maximum number of further attempts to set up a session
// on other ports.
const maxSetupRetries = 5

var errPortTaken = errors.New("a port is in use by another process")

func (s *system) address(vm int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+2*vm-1) }

func (s *system) startAll(env *testscript.Env) error {
	port, err := leverport.FindFree(0, 1, 2, 3, 4, 5, 6, 200, 201, 202, 203)
	if err != nil {
		return err
	}
	s.port = port
	env.Setenv("ARBUTUS_VM", s.address(1)+","+s.address(2)+","+s.address(3))
	for i := 1; i <= vmCount; i++ {
		env.Setenv(fmt.Sprint("VM", i), s.address(i))
	}
	plan := exec.Command(filepath.Join(binDir, "leverstandin"), "plan", "--dir", s.dir, "--app", "portal",
		"--scale", "1", "--vms", fmt.Sprint(vmCount), "--port", fmt.Sprint(s.port))
	out, err := plan.Output()
	if err != nil {
		return err
	}
	if err := s.startProcess("platform", "leverstandin", "platform", "--settings", "platform.json"); err != nil {
		return err
	}
	for _, id := range strings.Fields(string(out)) {
		if err := s.startProcess(id, "leverstandin", "upstream", "--settings", "fleet.json", "--id", id); err != nil {
			return err
		}
	}
	for i := 1; i <= vmCount; i++ {
		if err := s.startVM(i); err != nil {
			return err
		}
	}
	for i := 1; i <= vmCount; i++ {
		if err := s.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startProcess(name, program string, args ...string) error {
	c := exec.Command(filepath.Join(binDir, program), args...)
	c.Dir = s.dir
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	c.Stderr = log
	s.procs[name] = c
	return c.Start()
}

func (s *system) startVM(i int) error {
	name := fmt.Sprint("vm-", i)
	return s.startProcess(name, "arbutuslever", "--settings", name+".json")
}

// logs returns the concatenated logs of all processes.
func (s *system) logs() string {
	var b strings.Builder
	for name := range s.procs {
		// A log that can't be read counts as empty.
		text, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
		b.Write(text)
	}
	return b.String()
}

func (s *system) awaitReady(i int) error {
	for range 300 {
		r, err := http.Get("http://" + s.address(i) + "/v1/ready")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		if strings.Contains(s.logs(), "address already in use") {
			return errPortTaken
		}
		time.Sleep(100 * time.Millisecond)
	}
	// A log that can't be read counts as empty.
	text, _ := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("vm-%d.log", i)))
	return fmt.Errorf("vm-%d did not become ready in 30 s; its log:\n%s", i, text)
}

// killAll kills the processes of the session that still run.
func (s *system) killAll() {
	for _, c := range s.procs {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// controlVM implements the script command "vm ACTION N": it kills, stops,
// starts, freezes or resumes a VM, or adds a second operators' key to its
// settings.
func controlVM(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(systemKey{}).(*system)
	var i int
	if len(args) != 2 {
		ts.Fatalf("usage: vm kill|stop|start|freeze|wake|rekey N")
	}
	if _, err := fmt.Sscan(args[1], &i); err != nil {
		ts.Fatalf("vm: %v", err)
	}
	c := s.procs[fmt.Sprint("vm-", i)]
	switch args[0] {
	case "kill":
		ts.Check(c.Process.Kill())
		_ = c.Wait()
	case "stop":
		ts.Check(c.Process.Signal(syscall.SIGTERM))
		ts.Check(c.Wait())
	case "freeze":
		ts.Check(c.Process.Signal(syscall.SIGSTOP))
	case "wake":
		ts.Check(c.Process.Signal(syscall.SIGCONT))
	case "rekey":
		ts.Check(s.rekey(i))
		ts.Check(c.Process.Signal(syscall.SIGHUP))
	case "start":
		ts.Check(s.startVM(i))
		ts.Check(s.awaitReady(i))
	default:
		ts.Fatalf("vm: unknown action %s", args[0])
	}
}

// rekey adds a new operators' key to a VM's settings, in front of the old one.
func (s *system) rekey(i int) error {
	path := filepath.Join(s.dir, fmt.Sprintf("vm-%d.json", i))
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text := strings.Replace(string(raw), `"operator-key-for-trials-only"`, `"a-new-key-for-operators", "operator-key-for-trials-only"`, 1)
	return os.WriteFile(path, []byte(text), 0o600)
}

// setFaults implements the script command "faults JSON": it replaces the faults
// that the platform injects.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(systemKey{}).(*system)
	url := fmt.Sprintf("http://127.0.0.1:%d/v1/stand-in/faults", s.port)
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(strings.Join(args, " "))))
	ts.Check(err)
	w, err := http.DefaultClient.Do(r)
	ts.Check(err)
	_, _ = io.Copy(io.Discard, w.Body)
	ts.Check(w.Body.Close())
	if w.StatusCode != http.StatusOK {
		ts.Fatalf("faults: %s", w.Status)
	}
}

// retryCommand implements the script command "retry COMMAND...": it runs a
// command until it succeeds, at most 100 times.
func retryCommand(ts *testscript.TestScript, _ bool, args []string) {
	for range 100 {
		if ts.Exec(args[0], args[1:]...) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%v failed in each of 100 attempts", args)
}

// awaitInForce implements the script command "confirmed": it waits until the
// newest configuration version is in force on all VMs.
func awaitInForce(ts *testscript.TestScript, _ bool, _ []string) {
	for range 200 {
		if ts.Exec("arbutusctl", "config", "status") == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("the newest configuration version did not come into force on all VMs")
}
