// Command arbutuslever is the query tier's daemon. Every entry VM runs one.
package main

import (
	"os"
	"strings"

	"arbutuslever.dev/lever/internal/leverplug"
	"arbutuslever.dev/lever/internal/leversettings"

	"github.com/jessevdk/go-flags"
)

// options are the flags. Those that name a setting go over the file.
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

// face runs the process towards one kind of caller, store and upstream. The
// arguments are those of the command line.
type face func(args []string) error

// faces holds what the first argument of the command line can name. Each face
// registers itself.
var faces leverplug.Registry[face]

// ownFace is the one without a first argument.
const ownFace = "own"

func init() { faces.Register(ownFace, serveOwn) }

func main() {
	name, args := ownFace, os.Args[1:]
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, args = args[0], args[1:]
	}
	serve, err := faces.Lookup(name)
	if err == nil {
		err = serve(args)
	}
	if err != nil {
		os.Stderr.WriteString("arbutuslever: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// serveOwn runs the product's own face.
func serveOwn(args []string) error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
			os.Stdout.WriteString(e.Message + "\n")
			return nil
		}
		return err
	}
	s, err := o.load()
	if err != nil {
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
	return d.serve()
}

// load reads the file, lays the flags over it and checks the result.
func (o *options) load() (*leversettings.VM, error) {
	s := leversettings.DefaultVM()
	if err := leversettings.Load(o.Settings, &s); err != nil {
		return nil, err
	}
	over(&s.VM, o.VM)
	over(&s.Domain, o.Domain)
	over(&s.CallerListen, o.CallerListen)
	over(&s.PeerListen, o.PeerListen)
	over(&s.Platform, o.Platform)
	over(&s.LogLevel, o.LogLevel)
	if err := s.Check(o.Settings); err != nil {
		return nil, err
	}
	return &s, nil
}

func over[T ~string](target *T, flag string) {
	if flag != "" {
		*target = T(flag)
	}
}
