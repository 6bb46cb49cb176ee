// Command leverstandin plays the systems around the query tier in tests and
// trials: upstreams and the platform.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("leverstandin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "plays upstreams and the platform"
	mustAdd(parser, "upstream", "Play one upstream", &upstreamCommand{})
	mustAdd(parser, "platform", "Play the platform", &platformCommand{})
	mustAdd(parser, "plan", "Write the settings of a trial", &planCommand{})
	mustAdd(parser, "port", "Print a first port for a plan", &portCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
	}
}

func mustAdd(p *flags.Parser, name, short string, c flags.Commander) {
	if _, err := p.AddCommand(name, short, short+".", c); err != nil {
		panic(err)
	}
}

func report(err error) int {
	if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
		os.Stdout.WriteString(e.Message + "\n")
		return 0
	}
	os.Stderr.WriteString("leverstandin: " + err.Error() + "\n")
	return 1
}
