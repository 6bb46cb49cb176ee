// Command leverstandin simulates the systems around the query tier, upstreams
// and the platform, in tests and trials.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("leverstandin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "simulates upstreams and the platform"
	mustAdd(parser, "upstream", "Run a simulated upstream", &upstreamCommand{})
	mustAdd(parser, "platform", "Run a simulated platform", &platformCommand{})
	mustAdd(parser, "plan", "Write the settings files of a trial", &planCommand{})
	mustAdd(parser, "port", "Print a free first port for a plan", &portCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitStatus(err))
	}
}

func mustAdd(p *flags.Parser, name, short string, c flags.Commander) {
	if _, err := p.AddCommand(name, short, short+".", c); err != nil {
		panic(err)
	}
}

func exitStatus(err error) int {
	if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
		os.Stdout.WriteString(e.Message + "\n")
		return 0
	}
	os.Stderr.WriteString("leverstandin: " + err.Error() + "\n")
	return 1
}
