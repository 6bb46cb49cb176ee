package main

import (
	"fmt"

	"arbutuslever.dev/lever/internal/leverport"
)

// maxVMs and maxUpstreams are the sizes of the largest plan that the scripts
// write.
const (
	maxVMs       = 7
	maxUpstreams = 40
)

// portCommand prints a first port for a plan whose ports are all free.
type portCommand struct{}

// Execute searches for the port and prints it.
func (*portCommand) Execute([]string) error {
	var offsets []int
	for i := range firstVMPort + 2*maxVMs {
		offsets = append(offsets, i)
	}
	for i := range maxUpstreams {
		offsets = append(offsets, firstUpstreamPort+i)
	}
	first, err := leverport.FindFree(offsets...)
	if err != nil {
		return err
	}
	fmt.Println(first)
	return nil
}
