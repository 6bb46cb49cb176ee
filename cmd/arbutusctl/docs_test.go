package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

// TestOperatingPageHasTheSettings checks that the operators' page contains the
// current tables of settings.
func TestOperatingPageHasTheSettings(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATING.md")
	is.NoErr(err)
	var out, errOut bytes.Buffer
	is.Equal(run([]string{"config", "settings", "--markdown"}, &out, &errOut), exitOK)
	is.True(strings.Contains(string(page), out.String())) // update the page with: arbutusctl config settings --markdown
}

func TestUsage(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"help":               {[]string{"--help"}, exitOK, "Exit codes"},
		"no command":         {nil, exitUsage, "specify one command"},
		"unknown command":    {[]string{"fly"}, exitUsage, "fly"},
		"patch without base": {[]string{"config", "patch", "x.json"}, exitUsage, "--base"},
		"no VM":              {[]string{"--vm", "127.0.0.1:1", "config", "get"}, exitUnavailable, "no VM answers"},
		"load":               {[]string{"trial", "--load", "a:b"}, exitUsage, "SERVICE:RANK:RATE"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(run(c.args, &out, &errOut), c.code)
			if !strings.Contains(out.String()+errOut.String(), c.want) {
				t.Errorf("output %q does not contain %q", out.String()+errOut.String(), c.want)
			}
		})
	}
}

// TestHelpOfEachCommand asks each command for help, with no VM to ask.
func TestHelpOfEachCommand(t *testing.T) {
	p := flags.NewNamedParser("arbutusctl", flags.HelpFlag)
	addCommands(p, &commonOptions{})
	for _, c := range p.Commands() {
		testHelp(t, c, nil)
	}
}

func testHelp(t *testing.T, c *flags.Command, parents []string) {
	args := append(parents[:len(parents):len(parents)], c.Name)
	t.Run(strings.Join(args, " "), func(t *testing.T) {
		is := is.New(t)
		var out, errOut bytes.Buffer
		is.Equal(run(append(args[:len(args):len(args)], "--help"), &out, &errOut), exitOK)
		is.Equal(errOut.String(), "")
		if !strings.Contains(out.String(), "Usage:") || !strings.Contains(out.String(), c.Name) {
			t.Errorf("output %q is not the command's usage", out.String())
		}
	})
	for _, sub := range c.Commands() {
		testHelp(t, sub, args)
	}
}
