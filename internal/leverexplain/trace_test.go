package leverexplain_test

import (
	"bytes"
	"os"
	"testing"

	"arbutuslever.dev/lever/internal/leverexplain"

	"github.com/matryer/is"
)

// checkGolden compares got with a file in testdata. If UPDATE is set in the
// environment, it first replaces the file by got.
func checkGolden(t *testing.T, name string, got []byte) {
	is := is.New(t)
	path := "testdata/" + name
	if os.Getenv("UPDATE") != "" {
		is.NoErr(os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(got), string(want))
}

func TestTrace(t *testing.T) {
	is := is.New(t)
	log, err := os.ReadFile("testdata/partial.log")
	is.NoErr(err)
	s := &leverexplain.Trace{ID: "a3fb5aa77a0bf31c"}
	is.NoErr(leverexplain.Read(bytes.NewReader(log), s.Add))
	var b bytes.Buffer
	is.NoErr(s.Write(&b))
	checkGolden(t, "partial.golden", b.Bytes())
}

func TestSummary(t *testing.T) {
	is := is.New(t)
	log, err := os.ReadFile("testdata/partial.log")
	is.NoErr(err)
	var s leverexplain.Summary
	is.NoErr(leverexplain.Read(bytes.NewReader(log), s.Add))
	var b bytes.Buffer
	is.NoErr(s.Write(&b))
	checkGolden(t, "summary.golden", b.Bytes())
}
