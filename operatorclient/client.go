// Package operatorclient calls the operators' HTTP API on whichever control
// replica leads, and states truthfully what is known of a change.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// Times and limits of attempts.
const (
	attemptTimeout = 3 * time.Second       // after which another replica is tried
	firstPause     = 50 * time.Millisecond // after every address was tried once
	maxPause       = time.Second           // between later rounds
	maxErrorBytes  = 64 << 10              // of an error answer
)

// Client calls the operators' API. It is safe for concurrent use once set up.
type Client struct {
	addresses []string
	scheme    string
	token     string
	http      *http.Client
	timeout   time.Duration                                   // of one attempt
	sleep     func(ctx context.Context, d time.Duration) bool // between rounds; false ends the call
}

// New returns a client of the control replicas at addresses (ip:port of their
// operator listeners). token may be empty when the certificate of security is
// an operator's.
func New(addresses []string, security *transport.Security, token string) *Client {
	return &Client{
		addresses: addresses,
		scheme:    security.Scheme(),
		token:     token,
		timeout:   attemptTimeout,
		sleep:     timing.Sleep,
		http: &http.Client{
			Transport:     security.HTTPTransport(),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads path into answer, a pointer. It tries every replica until ctx ends.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, &call{method: http.MethodGet, path: path}, answer)
}

// Post makes the change named changeID with a JSON body, and reads the answer
// into answer, a pointer. The change is sent again under the same id, to every
// replica in turn, until its outcome is known or ctx ends. An error whose kind
// has outcome "unknown" means that the change may have taken effect.
func (c *Client) Post(ctx context.Context, path, changeID string, body []byte, answer any) error {
	return c.call(ctx, &call{method: http.MethodPost, path: path, changeID: changeID, body: body}, answer)
}

// Query reads path with a JSON body into answer, a pointer, by a POST that changes nothing.
// It tries every replica until ctx ends.
func (c *Client) Query(ctx context.Context, path string, body []byte, answer any) error {
	return c.call(ctx, &call{method: http.MethodPost, path: path, body: body}, answer)
}

// call is one logical call, made by one or more attempts.
type call struct {
	method   string
	path     string
	changeID string // empty for a read
	body     []byte
}

// progress is what the attempts of a call have shown so far.
type progress struct {
	uncertain error // why an attempt may have taken effect, nil when none may
	last      error // of the last attempt
	leader    string
}

func (c *Client) call(ctx context.Context, call *call, answer any) error {
	if len(c.addresses) == 0 {
		return fault.New(fault.InvalidArgument, "no address of a control replica is given")
	}
	seen := &progress{}
	backoff := timing.NewBackoff(firstPause, maxPause)
	for {
		for _, address := range c.addresses {
			if done, err := c.tryAddress(ctx, call, address, answer, seen); done {
				return err
			}
		}
		if !c.sleep(ctx, backoff.Next()) {
			return seen.giveUp(call)
		}
	}
}

// tryAddress makes an attempt at address, and another at the leader that it names.
func (c *Client) tryAddress(ctx context.Context, call *call, address string, answer any, seen *progress) (done bool, err error) {
	for _, target := range []string{address, ""} {
		if target == "" {
			target = seen.leader
		}
		if target == "" {
			return false, nil
		}
		if ctx.Err() != nil {
			return true, seen.giveUp(call)
		}
		seen.leader = ""
		if done, err := c.attempt(ctx, call, target, answer, seen); done {
			return true, err
		}
	}
	return false, nil
}

// attempt sends the call once and reports whether its outcome is settled.
func (c *Client) attempt(ctx context.Context, call *call, address string, answer any, seen *progress) (done bool, err error) {
	attemptCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(attemptCtx, call, address)
	if err != nil {
		return true, err
	}
	sent := traceSent(request)
	response, err := c.http.Do(sent.request)
	if err != nil {
		seen.record(fault.Wrap(fault.ConnectionLost, err, address), sent.written())
		return false, nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return seen.judge(readError(response, address))
	}
	data, err := readBody(response)
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		seen.record(fault.Wrap(fault.AnswerDamaged, err, address), true)
		return false, nil
	}
	return true, nil
}

func (c *Client) request(ctx context.Context, call *call, address string) (*http.Request, error) {
	url := c.scheme + "://" + address + call.path
	request, err := http.NewRequestWithContext(ctx, call.method, url, bytes.NewReader(call.body))
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "request")
	}
	if call.method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
		if call.changeID != "" {
			request.Header.Set(operatorapi.HeaderChangeID, call.changeID)
		}
		request.GetBody = nil // resends are this package's own
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// readBody reads a whole answer within the limit.
func readBody(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, operatorapi.MaxBodyBytes+1))
	if err == nil && len(data) > operatorapi.MaxBodyBytes {
		err = fault.New(fault.TooLarge, "answer exceeds the limit")
	}
	return data, err
}

// answerError is an error answer with the leader that it names.
type answerError struct {
	err    error
	leader string
}

// readError reads an error answer. One that is not of this API has kind
// fault.ConnectionLost, since it does not tell what became of the call.
func readError(response *http.Response, address string) answerError {
	var body operatorapi.Error
	decodeErr := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	kind, known := fault.ParseKind(body.Kind)
	if decodeErr != nil || !known {
		return answerError{err: fault.Newf(fault.ConnectionLost, "%s answers %s, not as a control replica does", address, response.Status)}
	}
	message := strings.TrimPrefix(body.Message, kind.String()+": ")
	return answerError{err: fault.Newf(kind, "%s", message), leader: body.Leader}
}

// record keeps the error of an attempt whose outcome is open when it may have been received.
func (p *progress) record(err error, received bool) {
	p.last = err
	if received {
		p.uncertain = err
	}
}

// judge decides whether an error answer settles the call.
func (p *progress) judge(answer answerError) (done bool, err error) {
	kind := fault.KindOf(answer.err)
	p.leader = answer.leader
	if kind.Answer().Outcome == fault.OutcomeUnknown {
		p.record(answer.err, true)
		return false, nil
	}
	if kind.Answer().Retryable {
		p.record(answer.err, false)
		return false, nil
	}
	if p.uncertain != nil && !settles(kind) {
		return true, fault.Wrap(fault.CommitUnknown, answer.err, "an earlier attempt may have taken effect")
	}
	return true, answer.err
}

// settles reports whether a refusal of kind was decided against the accepted
// state, by which an earlier attempt under the same change id would have got
// its own answer again. A refused credential tells nothing of earlier attempts.
func settles(kind fault.Kind) bool {
	switch kind {
	case fault.InvalidArgument, fault.Conflict, fault.Stale, fault.NotFound:
		return true
	}
	return false
}

// giveUp returns the error of a call whose time is over.
func (p *progress) giveUp(call *call) error {
	switch {
	case call.changeID != "" && p.uncertain != nil:
		return fault.Wrap(fault.CommitUnknown, p.uncertain, "no control replica confirmed the change in time")
	case p.last != nil:
		return fault.Wrap(fault.DeadlineNotRun, p.last, "no control replica answered in time")
	default:
		return fault.New(fault.DeadlineNotRun, "the time was over before the first attempt")
	}
}
