package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/standin"
)

const (
	callerCount     = 12
	callerPause     = 60 * time.Millisecond // between a caller's requests, at most
	callerGrace     = time.Second           // past the deadline, before a caller gives up
	sendsPerRequest = 5                     // of one request by its caller, at most
	largestBody     = 1 << 20               // bytes
	longAnswer      = 200_000               // bytes, more than an entry holds back
)

// work is the kind of a caller's request.
type work string

const (
	check  work = "check"  // idempotent
	charge work = "charge" // not idempotent, without a key
	keyed  work = "keyed"  // not idempotent, with an Idempotency-Key
)

// outcomeLost is what a caller knows when no whole answer reached it.
const outcomeLost fault.Outcome = "lost"

// call is one sending of a request, and what its caller was told.
type call struct {
	work         work
	token        string // of the request
	id           string // of this sending
	entry        int
	digest       string // of the body
	begun, ended time.Time
	deadline     time.Time
	outcome      fault.Outcome
	kind         string // of a refusal
	answer       standin.Answer
	cut          bool // the connection ended before the answer did
	err          error
}

// order is what a caller asks for.
type order struct {
	work     work
	token    string
	body     []byte
	deadline time.Duration
	runMS    int // how long the run takes, milliseconds
	answer   int // bytes the answer is lengthened by
}

// callers send requests through the entries until they are stopped.
type callers struct {
	addresses []string
	client    *http.Client
	stopping  chan struct{}
	wait      sync.WaitGroup

	mu    sync.Mutex
	calls []*call
	next  int
}

func startCallers(addresses []string, seed uint64) *callers {
	c := &callers{
		addresses: addresses, stopping: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
	}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wait.Go(func() { c.loop(random) })
	}
	return c
}

// stop ends the callers once their requests in progress have ended.
func (c *callers) stop() []*call {
	close(c.stopping)
	c.wait.Wait()
	c.client.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *callers) loop(random *rand.Rand) {
	for {
		select {
		case <-c.stopping:
			return
		case <-time.After(rand.N(callerPause)):
		}
		c.carryOut(c.draw(random), random)
	}
}

func (c *callers) draw(random *rand.Rand) *order {
	o := c.newOrder([]work{check, charge, keyed}[random.IntN(3)])
	size := 1 << 10
	switch random.IntN(20) {
	case 0:
		size = largestBody
	case 1, 2, 3:
		size = 8<<10 + random.IntN(200<<10)
	}
	o.body = bytes.Repeat([]byte(o.token+"."), size/(len(o.token)+1)+1)[:size]
	o.deadline = 500*time.Millisecond + time.Duration(random.IntN(3500))*time.Millisecond
	o.runMS = 2 + random.IntN(20)
	if random.IntN(15) == 0 {
		o.runMS = random.IntN(700)
	}
	if random.IntN(15) == 0 {
		o.answer = longAnswer
	}
	return o
}

func (c *callers) newOrder(kind work) *order {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	token := fmt.Sprintf("%s-%d", kind, c.next)
	return &order{work: kind, token: token, body: []byte(token), deadline: 10 * time.Second}
}

// carryOut sends a request as its caller would: a check and a charge again only
// after "not run", a keyed charge again after anything but its answer, at times
// at once through both entries, and at times although the answer has come.
func (c *callers) carryOut(o *order, random *rand.Rand) {
	entry := random.IntN(len(c.addresses))
	atOnce := o.work == keyed && random.IntN(4) == 0
	sendsAnyway := o.work == keyed && random.IntN(4) == 0
	for i := range sendsPerRequest {
		var other sync.WaitGroup
		if atOnce {
			other.Go(func() { c.send(o, fmt.Sprintf("%s/b%d", o.token, i), (entry+1)%len(c.addresses)) })
		}
		sent := c.send(o, fmt.Sprintf("%s/%d", o.token, i), entry)
		other.Wait()
		again := sent.outcome == fault.OutcomeNotRun || o.work == keyed && sent.outcome != fault.OutcomeDone
		if sent.outcome == fault.OutcomeDone && sendsAnyway {
			sendsAnyway, again = false, true
		}
		if !again {
			return
		}
		entry = (entry + 1) % len(c.addresses)
		time.Sleep(rand.N(callerPause))
	}
}

// send sends a request once, through an entry, and records what came back.
func (c *callers) send(o *order, id string, entry int) *call {
	digest := sha256.Sum256(o.body)
	sent := &call{work: o.work, token: o.token, id: id, entry: entry, digest: hex.EncodeToString(digest[:]), begun: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), o.deadline+callerGrace)
	defer cancel()
	sent.err = c.exchange(ctx, o, sent)
	sent.ended = time.Now()
	if sent.err != nil {
		sent.outcome = outcomeLost
		var timeout net.Error
		sent.cut = !(errors.As(sent.err, &timeout) && timeout.Timeout()) && ctx.Err() == nil
	}
	sent.deadline = sent.begun.Add(o.deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, sent)
	return sent
}

func (c *callers) exchange(ctx context.Context, o *order, sent *call) error {
	url := "http://" + c.addresses[sent.entry] + "/ledger/" + string(o.work)
	asked, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(o.body))
	if err != nil {
		return err
	}
	asked.GetBody = nil // the client library is not to send it again by itself
	asked.Header.Set(request.HeaderDeadline, strconv.FormatInt(o.deadline.Milliseconds(), 10))
	asked.Header.Set(standin.TokenHeader, o.token)
	asked.Header.Set(standin.SendHeader, sent.id)
	asked.Header.Set(standin.WorkHeader, strconv.Itoa(o.runMS))
	asked.Header.Set(standin.AnswerBytesHeader, strconv.Itoa(o.answer))
	switch o.work {
	case check:
		asked.Header.Set(request.HeaderIdempotent, "true")
	case keyed:
		asked.Header.Set(request.HeaderKey, o.token)
	}
	response, err := c.client.Do(asked)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return sent.told(response, body, o)
}

// told takes in a whole response. An answer that can't be right gets a digest
// that checkAnswers finds.
func (c *call) told(response *http.Response, body []byte, o *order) error {
	c.outcome = fault.Outcome(response.Header.Get(request.HeaderOutcome))
	if trailer := response.Trailer.Get(request.HeaderOutcome); trailer != "" {
		c.outcome = fault.Outcome(trailer)
	}
	if c.outcome != fault.OutcomeDone {
		var refusal struct{ Kind string }
		if err := json.Unmarshal(body, &refusal); err != nil {
			return fmt.Errorf("status %d, outcome %q: %w", response.StatusCode, c.outcome, err)
		}
		c.kind = refusal.Kind
		return nil
	}
	if err := json.Unmarshal(body, &c.answer); err != nil {
		c.answer.Digest = fmt.Sprintf("status %d, no answer of a backend server: %.100q", response.StatusCode, body)
	}
	if len(c.answer.Filler) != o.answer {
		c.answer.Digest = fmt.Sprintf("filler of %d bytes in place of %d", len(c.answer.Filler), o.answer)
	}
	return nil
}
