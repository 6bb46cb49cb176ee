package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// restarter restarts a VM.
type restarter struct{ vm *vm }

func (r *restarter) run(wg *sync.WaitGroup) {
	defer wg.Done()
	r.vm.restart(syscall.SIGKILL, time.Millisecond)
}

// TestOverlappingRestartsLoseProcess guards against a process of the soak that runs on
// after its end, because two faults restarted its VM at once.
func TestOverlappingRestartsLoseProcess(t *testing.T) {
	dir := t.TempDir()
	program, pids := filepath.Join(dir, "program"), filepath.Join(dir, "pids")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho $$ >> "+pids+"\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	store, err := newProxy("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{program: program, dir: dir, graceS: 1, store: store, logf: func(string, ...any) {}}
	if err := v.start(); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go (&restarter{vm: v}).run(&wg)
	}
	wg.Wait()
	v.stop()
	b, err := os.ReadFile(pids)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for _, field := range strings.Fields(string(b)) {
		pid, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("process %d runs on", pid)
			// It is one of this test.
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}
