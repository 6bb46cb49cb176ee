// Command arbutusctl is the operators' command line tool for the query tier.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK          = 0
	exitUsage       = 1
	exitRejected    = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitUnavailable = 5
	exitRefused     = 6
	exitViolation   = 7
)

const longHelp = `Inspects and configures a query tier through any of its entry VMs.

Exit codes: 0 success; 1 usage error or other error; 2 patch or document
rejected; 3 patch in conflict with a later version; 4 outcome of a patch
unknown, resend it with the same patch id; 5 VM or store unreachable; 6 query
refused; 7 rule violated. config check of a configuration of the users' platform:
0 no error found; 1 errors found; 2 the check could not be made.

First steps:
  arbutusctl vm list
  arbutusctl config get
  arbutusctl config patch --base 0 patch.json
  arbutusctl config status
  arbutusctl query portal-01 --rank urgent`

// exitError is an error with an exit code.
type exitError struct {
	code int
	text string
}

// Error returns the message.
func (e *exitError) Error() string { return e.text }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// commonOptions holds the flags that all commands share. It implements cli.
type commonOptions struct {
	VM   []string `long:"vm" env:"ARBUTUS_VM" env-delim:"," value-name:"HOST:PORT" description:"caller address of an entry VM; several are tried in turn" default:"127.0.0.1:8101"`
	Key  string   `long:"key" env:"ARBUTUS_KEY" description:"operator key"`
	JSON bool     `long:"json" description:"print JSON"`

	out io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	c := &commonOptions{out: out}
	p := flags.NewNamedParser("arbutusctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longHelp
	if _, err := p.AddGroup("Common options", "", c); err != nil {
		panic(err)
	}
	addCommands(p, c)
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, flagsErr.Message)
		return exitOK
	}
	fmt.Fprintln(errOut, "arbutusctl:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	if a := p.Active; a != nil && a.Name == "config" && a.Active != nil && a.Active.Name == "check" {
		return exitNotChecked
	}
	return exitUsage
}

func addCommands(p *flags.Parser, c *commonOptions) {
	config := mustAddCommand(p, "config", "Read and change the configuration", &struct{}{})
	mustAddCommand(config, "get", "Print the configuration in force", &configGet{cli: c})
	mustAddCommand(config, "patch", "Change the configuration against a version", &configPatch{cli: c})
	mustAddCommand(config, "check", "Check a configuration, or a patch, without sending or applying it", &configCheck{cli: c})
	mustAddCommand(config, "status", "Show on which VMs the newest version is in force", &configStatus{cli: c})
	mustAddCommand(config, "history", "List the most recent accepted patches", &configHistory{cli: c})
	mustAddCommand(config, "settings", "List all settings with unit, default and bounds", &configSettings{cli: c})
	vm := mustAddCommand(p, "vm", "Inspect the VMs", &struct{}{})
	mustAddCommand(vm, "list", "List the VMs", &vmList{cli: c})
	mustAddCommand(p, "services", "Show answered and refused queries by rank", &services{cli: c})
	mustAddCommand(p, "timeline", "Print the events of all VMs in order", &timeline{cli: c})
	mustAddCommand(p, "explain", "Trace a request in the logs", &explain{out: c.out})
	logs := mustAddCommand(p, "logs", "Analyze the logs of VMs", &struct{}{})
	mustAddCommand(logs, "summary", "Count why requests were refused, partial or late", &logsSummary{out: c.out})
	mustAddCommand(p, "query", "Send one query", &query{cli: c})
	mustAddCommand(p, "trial", "Send load and record the answers", &trial{cli: c})
	mustAddCommand(p, "verify", "Check recorded trials for rule violations", &verify{cli: c})
}

type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func mustAddCommand(p commandAdder, name, short string, data any) *flags.Command {
	c, err := p.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return c
}
