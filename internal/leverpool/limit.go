package leverpool

import (
	"bytes"
	"cmp"
	"io"
	"math"
	"net/http"

	"github.com/juju/errors"
)

const (
	// maxHeadBytes bounds the head of a response, with informational responses
	// before it, in bytes.
	maxHeadBytes = 64 << 10
	// maxResponseBody bounds the body of a response in bytes.
	maxResponseBody = 8 << 20
	// bodyChunk is the size, in bytes, up to which bodies are not counted against
	// Pool.MaxBodyBytes, and the step in which larger ones are.
	bodyChunk = 64 << 10
	// defaultMaxBodyBytes is Pool.MaxBodyBytes if that is 0.
	defaultMaxBodyBytes = 64 << 20
)

var errHeadTooLong = errors.Errorf("response head over %d bytes", maxHeadBytes)

// source is the incoming side of a connection. It fails after left bytes.
type source struct {
	io.Reader
	left int
}

// Read reads at most left bytes.
func (s *source) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := s.Reader.Read(b[:min(len(b), s.left)])
	s.left -= n
	return n, err
}

func (s *source) beginHead() { s.left = maxHeadBytes }

func (s *source) endHead() { s.left = math.MaxInt }

// reserveBody counts n more bytes of large bodies that are being received. It
// returns false, and counts nothing, if they would be too many.
func (p *Pool) reserveBody(n int64) bool {
	if p.bodyBytes.Add(n) <= cmp.Or(p.MaxBodyBytes, defaultMaxBodyBytes) {
		return true
	}
	p.bodyBytes.Add(-n)
	return false
}

// readBody reads a complete body.
func (p *Pool) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		// The stated length may be that of a body which a HEAD request does not
		// get.
		return nil, nil
	}
	if resp.ContentLength > maxResponseBody {
		return nil, errors.Errorf("response body of %d bytes (at most %d)", resp.ContentLength, maxResponseBody)
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= bodyChunk {
		b := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	return p.readLargeBody(resp)
}

// readLargeBody reads a body that is large or has no stated length. It reserves
// memory as bytes arrive.
func (p *Pool) readLargeBody(resp *http.Response) ([]byte, error) {
	var b bytes.Buffer
	reserved := int64(0)
	defer func() { p.bodyBytes.Add(-reserved) }()
	for {
		n, err := io.CopyN(&b, resp.Body, bodyChunk)
		switch {
		case err == io.EOF && resp.ContentLength >= 0 && int64(b.Len()) < resp.ContentLength:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		case b.Len() > maxResponseBody:
			return nil, errors.Errorf("response body over %d bytes", maxResponseBody)
		case !p.reserveBody(n):
			return nil, errors.Errorf("response bodies in progress over %d bytes", cmp.Or(p.MaxBodyBytes, defaultMaxBodyBytes))
		}
		reserved += n
	}
}
