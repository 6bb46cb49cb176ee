package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// followsMessage is in the log of a VM that learns of changes in the store from another.
const followsMessage = "parent has a path to the store"

// checkLogs checks that no VM has logged a key, and that VMs follow each other, without
// which the soak tests VMs that are on their own.
func (s *soak) checkLogs() {
	follows := false
	for _, v := range s.vms {
		b, err := os.ReadFile(filepath.Join(v.dir, fmt.Sprintf("vm%d.log", v.n)))
		if err != nil {
			s.violationf("the log of vm%d can't be read: %v", v.n, err)
		}
		follows = follows || strings.Contains(string(b), followsMessage)
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, keyPrefix) {
				s.violationf("vm%d has logged a key: %.200s", v.n, line)
				break
			}
		}
	}
	if !follows && len(s.vms) > 1 {
		s.violationf("no VM has followed another")
	}
}

// saveLogs copies the VM logs of a failed seed to the directory for logs.
func (s *soak) saveLogs(dir string) {
	target := filepath.Join(s.options.Logs, fmt.Sprintf("seed-%d", s.seed))
	if err := os.MkdirAll(target, 0o755); err != nil {
		s.logf("logs: %v", err)
		return
	}
	if err := os.CopyFS(target, os.DirFS(dir)); err != nil && !os.IsExist(err) {
		s.logf("logs: %v", err)
	}
}
