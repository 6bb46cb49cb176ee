package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"arbutuslever.dev/lever/platform"

	"github.com/matryer/is"
)

// TestHelpReadSettings asks each command for help, with no settings at all.
func TestHelpReadSettings(t *testing.T) {
	cases := map[string]struct {
		args []string
		want []string
	}{
		"program":       {[]string{"--help"}, []string{"Usage:", "--settings", "entry"}},
		"program short": {[]string{"-h"}, []string{"Usage:", "--settings"}},
		"own":           {[]string{"own", "--help"}, []string{"Usage:", "--settings"}},
		"entry":         {[]string{"entry", "--help"}, []string{"Usage:", "arbutuslever entry", platform.SettingsVariable}},
		"entry short":   {[]string{"entry", "-h"}, []string{"Usage:", "arbutuslever entry"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = []string{asProgram + "=1"}
			out, err := cmd.Output()
			is.NoErr(err)
			for _, want := range c.want {
				if !strings.Contains(string(out), want) {
					t.Errorf("output %q does not contain %q", out, want)
				}
			}
		})
	}
}

// TestMissingVariableUnnamed starts without the settings variable, and with
// arguments that the command doesn't know.
func TestMissingVariableUnnamed(t *testing.T) {
	cases := map[string]struct {
		args []string
		want string
	}{
		"no variable":     {[]string{"entry"}, platform.SettingsVariable},
		"unknown flag":    {[]string{"entry", "--fly"}, "fly"},
		"unknown command": {[]string{"fly"}, "fly"},
		"no settings":     {nil, "--settings"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = []string{asProgram + "=1"}
			out, err := cmd.CombinedOutput()
			is.True(err != nil)
			is.Equal(cmd.ProcessState.ExitCode(), 1)
			if !strings.Contains(string(out), c.want) {
				t.Errorf("output %q does not contain %q", out, c.want)
			}
		})
	}
}
