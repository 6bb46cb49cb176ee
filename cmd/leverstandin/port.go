package main

import (
	"fmt"

	"arbutuslever.dev/lever/internal/leverport"
)

// mostUpstreams is more than the upstreams of any plan that the scripts make.
const mostUpstreams = 64

// portCommand prints a first port that a plan can use.
type portCommand struct{}

// Execute prints the port.
func (*portCommand) Execute([]string) error {
	var offsets []int
	for i := range firstUpstreamPort {
		offsets = append(offsets, i)
	}
	for i := range mostUpstreams {
		offsets = append(offsets, firstUpstreamPort+i)
	}
	first, err := leverport.Free(offsets...)
	if err != nil {
		return err
	}
	fmt.Println(first)
	return nil
}
