package transport

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

// minTokenBytes is the least length of an operator token.
const minTokenBytes = 16

// Operators decides which HTTP requests come from an operator: those with a
// bearer token from the token file or with a verified operator's certificate.
// The zero value accepts certificates only.
type Operators struct {
	file string

	mu     sync.Mutex
	stamp  fileStamp
	tokens [][sha256.Size]byte
}

// OpenOperators reads the tokens in file, one a line, and reads it again when
// it changes. An empty name accepts certificates only. It returns
// fault.InvalidArgument when the file can't be used.
func OpenOperators(file string) (*Operators, error) {
	o := &Operators{file: file}
	if file == "" {
		return o, nil
	}
	if err := o.reload(); err != nil {
		return nil, err
	}
	return o, nil
}

// reload reads the token file if it changed. On an error the earlier tokens stay.
func (o *Operators) reload() error {
	info, err := os.Stat(o.file)
	if err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "token file")
	}
	stamp := fileStamp{modified: info.ModTime().UnixNano(), size: info.Size()}
	if stamp == o.stamp {
		return nil
	}
	data, err := os.ReadFile(o.file)
	if err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "token file")
	}
	var tokens [][sha256.Size]byte
	for _, token := range strings.Fields(string(data)) {
		if len(token) < minTokenBytes {
			return fault.Newf(fault.InvalidArgument, "token file %s: a token is shorter than %d bytes", o.file, minTokenBytes)
		}
		tokens = append(tokens, sha256.Sum256([]byte(token)))
	}
	if len(tokens) == 0 {
		return fault.Newf(fault.InvalidArgument, "token file %s holds no token", o.file)
	}
	o.tokens, o.stamp = tokens, stamp
	return nil
}

// Authenticate returns nil for an operator's request, else fault.Unauthenticated,
// or fault.Forbidden for a verified certificate that is not an operator's.
func (o *Operators) Authenticate(r *http.Request) error {
	if r.TLS != nil && isOperator(*r.TLS) {
		return nil
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found && o.knows(token) {
		return nil
	}
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return fault.New(fault.Forbidden, "the certificate is not an operator's")
	}
	return fault.New(fault.Unauthenticated, "the call needs an operator's token or certificate")
}

func (o *Operators) knows(token string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.file == "" {
		return false
	}
	if err := o.reload(); err != nil {
		klog.ErrorS(err, "token file can't be read, keeping the earlier tokens")
	}
	digest := sha256.Sum256([]byte(token))
	match := 0
	for _, known := range o.tokens {
		match |= subtle.ConstantTimeCompare(known[:], digest[:])
	}
	return match == 1
}

// Require returns a handler that passes operators' requests to next and
// answers others with the error as operatorapi.Error.
func (o *Operators) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := o.Authenticate(r); err != nil {
			operatorapi.WriteError(w, err, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
