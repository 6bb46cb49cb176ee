package leverexplain_test

import (
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverexplain"

	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	text := `  1.2 vm1 time=2026-06-17T16:37:54.013978664Z vm=vm1 level=info msg="engine: a request ended" id=7 took=1.5ms reason=
another program's line
time=2026-06-17T16:37:55Z vm=vm2 level=warn msg="feed: the store is lost" err="status \"503\""
`
	var lines []*leverexplain.Line
	is.NoErr(leverexplain.Read(strings.NewReader(text), func(l *leverexplain.Line) { lines = append(lines, l) }))
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Component, "engine")
	is.Equal(lines[0].Message, "a request ended")
	is.Equal(lines[0].Duration("took"), 1500*time.Microsecond)
	is.Equal(lines[1].Fields["err"], `status "503"`)
}
