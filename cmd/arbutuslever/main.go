// Command arbutuslever is the query tier's daemon, which runs on each entry VM.
package main

import (
	"os"
	"strings"

	"arbutuslever.dev/lever/internal/leverplug"
	"arbutuslever.dev/lever/internal/leversettings"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// options are the command-line flags of the default command. A flag for a
// setting overrides the settings file.
type options struct {
	Settings     string `long:"settings" required:"true" description:"settings file: JSON with comments"`
	Check        bool   `long:"check" description:"only check the settings"`
	VM           string `long:"vm" description:"name of this VM"`
	Domain       string `long:"failure-domain" description:"failure domain of this VM"`
	CallerListen string `long:"caller-listen" description:"IP address and port for callers and operators"`
	PeerListen   string `long:"peer-listen" description:"IP address and port for other VMs"`
	Platform     string `long:"platform" description:"address of the platform's API"`
	LogLevel     string `long:"log-level" description:"debug, info, warn or error"`
}

// command runs the daemon with the protocols of one kind of caller, store and
// upstream. args are the command-line arguments after the command's name.
type command func(args []string, sig *signals) error

// commands are the commands that the first command-line argument selects by
// name. Each command registers itself.
var commands leverplug.Registry[command]

// defaultCommand runs if the command line names no command.
const defaultCommand = "own"

func init() { commands.Register(defaultCommand, runDefault) }

func main() {
	sig := notifySignals()
	name, args := defaultCommand, os.Args[1:]
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, args = args[0], args[1:]
	}
	run, err := commands.Lookup(name)
	if err == nil {
		err = run(args, sig)
	}
	if errors.Is(err, errHelp) {
		return
	}
	if errors.Is(err, errStopped) {
		os.Stderr.WriteString("arbutuslever: " + err.Error() + "\n")
		return
	}
	if err != nil {
		os.Stderr.WriteString("arbutuslever: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// errHelp means that the command line asked for help, which was printed.
const errHelp = errors.ConstError("help was printed")

// parseFlags parses a command's arguments into the fields of o. If they ask for
// help, it prints the usage and returns errHelp.
func parseFlags(name, help string, o any, args []string) error {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = help
	if _, err := p.AddGroup("Options", "", o); err != nil {
		return err
	}
	_, err := p.ParseArgs(args)
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		os.Stdout.WriteString(e.Message + "\n")
		return errHelp
	}
	return err
}

const ownHelp = `Serves the query tier's native API on this VM.

"arbutuslever entry" serves the platform's protocols instead; see
"arbutuslever entry --help".`

// runDefault runs the daemon with the protocols of this project.
func runDefault(args []string, sig *signals) error {
	var o options
	if err := parseFlags("arbutuslever", ownHelp, &o, args); err != nil {
		return err
	}
	var s *leversettings.VM
	if err := sig.start(func() (err error) {
		s, err = o.load()
		return err
	}); err != nil {
		return err
	}
	if o.Check {
		os.Stdout.WriteString(o.Settings + ": ok\n")
		return nil
	}
	d, err := newDaemon(s, o.load)
	if err != nil {
		return err
	}
	return d.serve(sig)
}

// load reads the settings file, applies the flags to it and validates the
// result.
func (o *options) load() (*leversettings.VM, error) {
	s := leversettings.DefaultVM()
	if err := leversettings.Load(o.Settings, &s); err != nil {
		return nil, err
	}
	override(&s.VM, o.VM)
	override(&s.Domain, o.Domain)
	override(&s.CallerListen, o.CallerListen)
	override(&s.PeerListen, o.PeerListen)
	override(&s.Platform, o.Platform)
	override(&s.LogLevel, o.LogLevel)
	if err := s.Check(o.Settings); err != nil {
		return nil, err
	}
	return &s, nil
}

// override sets target to the value of flag, unless flag is empty.
func override[T ~string](target *T, flag string) {
	if flag != "" {
		*target = T(flag)
	}
}
