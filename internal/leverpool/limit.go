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
	// uncountedBytes is the size, in bytes, up to which responses are not counted against
	// Pool.MaxBodyBytes, and countStep the step in which larger ones are.
	uncountedBytes = 16 << 10
	countStep      = 8 << 10
	// bodyChunk is the size, in bytes, of the pieces in which large bodies are read.
	bodyChunk = 64 << 10
	// defaultMaxBodyBytes is Pool.MaxBodyBytes if that is 0.
	defaultMaxBodyBytes = 64 << 20
)

var errHeadTooLong = errors.Errorf("response head over %d bytes", maxHeadBytes)

// source is the incoming side of a connection. It fails after left bytes, and if the bytes
// of the response, beyond uncountedBytes, are too many beside those of all others in
// progress. Only the read loop uses it.
type source struct {
	io.Reader
	pool *Pool
	left int
	// received are the bytes of the response, and reserved those counted in the pool.
	received, reserved int64
}

// Read reads at most left bytes.
func (s *source) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := s.Reader.Read(b[:min(len(b), s.left)])
	s.left -= n
	s.received += int64(n)
	for s.received > s.reserved+uncountedBytes {
		if !s.pool.reserveBytes(countStep) {
			return 0, errors.Errorf("responses in progress over %d bytes", cmp.Or(s.pool.MaxBodyBytes, defaultMaxBodyBytes))
		}
		s.reserved += countStep
	}
	return n, err
}

func (s *source) beginHead() {
	s.release()
	s.left = maxHeadBytes
}

func (s *source) endHead() { s.left = math.MaxInt }

// release ends the counting of a response.
func (s *source) release() {
	s.pool.bodyBytes.Add(-s.reserved)
	s.received, s.reserved = 0, 0
}

// reserveBytes counts n more bytes of responses that are being received. It returns
// false, and counts nothing, if they would be too many.
func (p *Pool) reserveBytes(n int64) bool {
	if p.bodyBytes.Add(n) <= cmp.Or(p.MaxBodyBytes, defaultMaxBodyBytes) {
		return true
	}
	p.bodyBytes.Add(-n)
	return false
}

// readBody reads a complete body.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		// The stated length may be that of a body which a HEAD request does not
		// get.
		return nil, nil
	}
	if resp.ContentLength > maxResponseBody {
		return nil, errors.Errorf("response body of %d bytes (at most %d)", resp.ContentLength, maxResponseBody)
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= uncountedBytes {
		b := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	return readLargeBody(resp)
}

// readLargeBody reads a body that is large or has no stated length. It takes memory as
// bytes arrive.
func readLargeBody(resp *http.Response) ([]byte, error) {
	var b bytes.Buffer
	for {
		_, err := io.CopyN(&b, resp.Body, bodyChunk)
		switch {
		case err == io.EOF && resp.ContentLength >= 0 && int64(b.Len()) < resp.ContentLength:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		case b.Len() > maxResponseBody:
			return nil, errors.Errorf("response body over %d bytes", maxResponseBody)
		}
	}
}
