// Command arbutusctl is the operators' command of the query tier.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
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

const longHelp = `Asks and changes a query tier through any one of its entry VMs.

Exit codes: 0 done; 1 wrong usage or another fault; 2 patch or document
rejected; 3 patch in conflict with a later version; 4 outcome of a patch
unknown, ask again with the same patch id; 5 VM or store not reached; 6 query
refused; 7 a rule was broken.

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

// Error returns the text.
func (e *exitError) Error() string { return e.text }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// common are the flags of every command.
type common struct {
	VM   []string `long:"vm" env:"ARBUTUS_VM" env-delim:"," value-name:"HOST:PORT" description:"caller address of an entry VM; several are tried in turn" default:"127.0.0.1:8101"`
	Key  string   `long:"key" env:"ARBUTUS_KEY" description:"operator's key"`
	JSON bool     `long:"json" description:"print JSON"`

	out io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	c := &common{out: out}
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
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return exitOK
	}
	fmt.Fprintln(errOut, "arbutusctl:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitUsage
}

func addCommands(p *flags.Parser, c *common) {
	config := add(p, "config", "Read and change the configuration", &struct{}{})
	add(config, "get", "Print the configuration in force", &configGet{shell: c})
	add(config, "patch", "Change the configuration against a version", &configPatch{shell: c})
	add(config, "check", "Say what a patch would do, without doing it", &configCheck{shell: c})
	add(config, "status", "Say on which VMs a version is in force", &configStatus{shell: c})
	add(config, "history", "List the accepted patches that are kept", &configHistory{shell: c})
	add(config, "settings", "List all keys with unit, default and bounds", &configSettings{shell: c})
	vm := add(p, "vm", "Look at the VMs", &struct{}{})
	add(vm, "list", "List the VMs", &vmList{shell: c})
	add(p, "services", "Show by rank what is served and refused", &services{shell: c})
	add(p, "timeline", "Print the events of all VMs in one order", &timeline{shell: c})
	add(p, "explain", "Tell from the logs what became of a request", &explain{out: c.out})
	logs := add(p, "logs", "Read the logs of VMs", &struct{}{})
	add(logs, "summary", "Count why requests were refused, partial or late", &logsSummary{out: c.out})
	add(p, "query", "Send one query", &query{shell: c})
	add(p, "trial", "Send load and record what comes back", &trial{shell: c})
	add(p, "verify", "Check a recorded trial against what must always hold", &verify{shell: c})
}

type adder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func add(p adder, name, short string, data any) *flags.Command {
	c, err := p.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return c
}
