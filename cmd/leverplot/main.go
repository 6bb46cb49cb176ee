// Command leverplot fits and plots the measurements of scripts/slopes.sh, which
// it reads from standard input.
package main

import (
	"os"

	"arbutuslever.dev/lever/internal/leverfit"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Table string `long:"table" required:"true" description:"output file for the Markdown table"`
	SVG   string `long:"svg" required:"true" description:"output file for the SVG image"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	if err := o.run(); err != nil {
		os.Stderr.WriteString("leverplot: " + err.Error() + "\n")
		os.Exit(1)
	}
}

func (o *options) run() error {
	all, err := leverfit.Read(os.Stdin)
	if err != nil {
		return err
	}
	table, err := os.Create(o.Table)
	if err != nil {
		return err
	}
	defer table.Close()
	if err := leverfit.Table(table, all); err != nil {
		return err
	}
	svg, err := os.Create(o.SVG)
	if err != nil {
		return err
	}
	defer svg.Close()
	return leverfit.Draw(svg, all)
}
