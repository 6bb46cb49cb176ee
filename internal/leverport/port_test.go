package leverport_test

import (
	"fmt"
	"net"
	"testing"

	"arbutuslever.dev/lever/internal/leverport"

	"github.com/matryer/is"
)

func TestFindFree(t *testing.T) {
	is := is.New(t)
	offsets := []int{0, 1, 200}
	first, err := leverport.FindFree(offsets...)
	is.NoErr(err)
	for _, offset := range offsets {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+offset))
		is.NoErr(err)
		is.NoErr(ln.Close())
	}
}
