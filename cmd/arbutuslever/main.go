// Command arbutuslever is the query tier's daemon. Every entry VM runs one.
package main

import (
	"os"

	"arbutuslever.dev/lever/internal/leversettings"
	"arbutuslever.dev/lever/platform"

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

func main() {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		mainEntry()
		return
	}
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	s, err := o.load()
	if err != nil {
		fail(err)
	}
	if o.Check {
		os.Stdout.WriteString(o.Settings + ": ok\n")
		return
	}
	d, err := newDaemon(s, o.load)
	if err != nil {
		fail(err)
	}
	if err := d.serve(); err != nil {
		fail(err)
	}
}

// mainEntry runs the process on the users' platform.
func mainEntry() {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		fail(err)
	}
	if err := newEntry(path, s).serve(); err != nil {
		fail(err)
	}
}

func fail(err error) {
	os.Stderr.WriteString("arbutuslever: " + err.Error() + "\n")
	os.Exit(1)
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
