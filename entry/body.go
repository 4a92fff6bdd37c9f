package entry

import (
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// Sizes of request bodies.
const (
	maxInlineBody  = 16 << 10  // bytes sent in one message with the attempt
	maxChunkedBody = 128 << 10 // bytes up to which a body is sent with the attempt, in chunks
	bodyChunkSize  = 16 << 10  // bytes of one chunk
)

// body is a caller's request body, read to its end before the first attempt.
type body struct {
	small  []byte      // when it is at most chunkedBody long
	digest blob.Digest // of a longer one, which is in the entry's store
	size   int64
}

func (b *body) stored() bool { return b.size > maxChunkedBody }

// readBody reads the caller's body. Memory is bounded: a long body goes to the
// store. A caller that stalls, or is not done by the deadline, is refused.
func (e *Entry) readBody(s *sink, r *http.Request, deadline time.Time) (*body, error) {
	if r.ContentLength > e.config.MaxBody {
		return nil, fault.Newf(fault.TooLarge, "the body exceeds %d bytes", e.config.MaxBody)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	reader := &deadlineReader{sink: s, body: r.Body, deadline: deadline}
	small, err := io.ReadAll(io.LimitReader(reader, maxChunkedBody+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if len(small) <= maxChunkedBody {
		return &body{small: small, size: int64(len(small))}, nil
	}
	return e.storeBody(small, reader)
}

func (e *Entry) storeBody(first []byte, rest io.Reader) (*body, error) {
	writer, err := e.blobs.Create(e.config.MaxBody)
	if err != nil {
		return nil, err
	}
	defer writer.Close()
	if _, err := writer.Write(first); err != nil {
		return nil, err
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
	digest, err := writer.Commit(blob.Digest{})
	return &body{digest: digest, size: writer.Size()}, err
}

// bodyError classifies a failure to read a caller's body, before any attempt ran.
func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.Wrap(fault.DeadlineNotRun, err, "the request body did not arrive in time")
	}
	return fault.Wrap(fault.InvalidArgument, err, "read the request body")
}

// deadlineReader reads a body with a deadline on each read.
type deadlineReader struct {
	sink     *sink
	body     io.Reader
	deadline time.Time // of the whole body, zero for none
}

// Read reads the next bytes of the caller's body.
func (r *deadlineReader) Read(b []byte) (int, error) {
	until := time.Now().Add(r.sink.stallTimeout)
	if !r.deadline.IsZero() && r.deadline.Before(until) {
		until = r.deadline
	}
	_ = r.sink.control.SetReadDeadline(until)
	return r.body.Read(b)
}

// requestDigest returns the digest of method, URI and body that an idempotency
// key is bound to.
func requestDigest(r *request.Request, b *body) []byte {
	hash := sha256.New()
	_, _ = io.WriteString(hash, r.Method+" "+r.URI+"\n")
	content := b.digest
	if !b.stored() {
		content = sha256.Sum256(b.small)
	}
	_, _ = hash.Write(content[:])
	return hash.Sum(nil)
}

// attach puts the body into an attempt: inline, as chunks, or by its digest.
func (b *body) attach(start *api.AttemptStart, remote bool) (chunks [][]byte) {
	start.BodyLength = uint64(b.size)
	if b.stored() {
		start.BodyDigest = b.digest[:]
		return nil
	}
	if len(b.small) <= maxInlineBody {
		start.Body = b.small
		if remote {
			start.Body, start.BodyZstd = blob.Compress(b.small)
		}
		return nil
	}
	hash := xxhash.New()
	_, _ = hash.Write(b.small)
	start.BodyChecksum = hash.Sum(nil)
	for rest := b.small; len(rest) > 0; {
		n := min(bodyChunkSize, len(rest))
		chunks = append(chunks, rest[:n])
		rest = rest[n:]
	}
	return chunks
}
