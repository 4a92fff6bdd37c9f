package delivery

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/timing"
)

// Limits of a delivery.
const (
	maxInlineBody   = 256 << 10   // largest body sent with the attempt, in bytes
	overrunLimit    = time.Minute // how long a started, non-idempotent attempt may run past its deadline
	lookupRetention = time.Minute // how long an attempt without a key can be looked up
	claimBackoff    = 50 * time.Millisecond
	maxBodyBytes    = 256 << 20 // largest stored body, in bytes
)

// attempt is one delivery in progress.
type attempt struct {
	delivery  *Delivery
	start     *api.AttemptStart
	instance  *instance
	answer    *answer
	body      io.ReadCloser
	deadline  time.Duration // on the agent's clock
	queueTime time.Duration // time spent waiting for a slot
	timeout   *time.Timer   // cancels the call to the backend server
}

// Deliver implements api.AgentServer.
func (d *Delivery) Deliver(stream api.Agent_DeliverServer) error {
	d.active.Add(1)
	defer d.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return nil
	}
	start := first.GetStart()
	if start == nil {
		return fault.ToStatus(fault.New(fault.InvalidArgument, "a delivery begins with its start"))
	}
	ctx, leave := d.connections.join(stream.Context())
	defer leave()
	a, err := d.begin(start)
	if err != nil {
		return stream.Send(d.refusalMessage(start.Server, err))
	}
	if err := a.prepare(ctx, stream); err != nil {
		a.abandon(err)
		return stream.Send(d.refusalMessage(start.Server, err))
	}
	credit := newCredit(start.AnswerCredit)
	canceled := make(chan struct{})
	go a.receive(stream, credit, canceled)
	a.launch(ctx, canceled)
	return d.sendAnswer(ctx, stream, a.answer, &sender{
		server: start.Server, credit: credit, zstd: start.AcceptZstd, needHead: true,
	})
}

// begin records the attempt, so that a lookup on another connection finds it.
func (d *Delivery) begin(start *api.AttemptStart) (*attempt, error) {
	in, err := d.instanceFor(start)
	if err != nil {
		return nil, err
	}
	attemptsTotal.Inc()
	a := &attempt{
		delivery: d,
		start:    start,
		instance: in,
		answer:   newAnswer(!start.Idempotent),
		deadline: time.Duration(start.DeadlineUs) * time.Microsecond,
	}
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	return a, d.table.Begin(d.now(), start.Attempt, a.deadline, d.retention(start), a.answer)
}

// retention returns how long an attempt can be looked up. An attempt without a
// key is looked up only by its own entry, one with a key by any entry, and an
// idempotent one by none.
func (d *Delivery) retention(start *api.AttemptStart) time.Duration {
	switch {
	case start.Idempotent:
		return 0
	case start.Key == "":
		return lookupRetention
	default:
		return d.config.Retention
	}
}

// prepare obtains everything that the attempt needs before it may start: its
// body, a slot or a standing stream's connection, and the claim on its key.
func (a *attempt) prepare(ctx context.Context, stream api.Agent_DeliverServer) error {
	ctx, cancel := context.WithTimeoutCause(ctx, a.remaining(), errDeadline)
	defer cancel()
	body, err := a.receiveBody(ctx, stream)
	if err != nil {
		return err
	}
	a.body = body
	if err := a.acquire(ctx); err != nil {
		return err
	}
	if a.start.Key == "" || a.start.Idempotent {
		return nil
	}
	if err := a.claim(ctx); err != nil {
		a.release()
		return err
	}
	return nil
}

var errDeadline = fault.New(fault.DeadlineNotRun, "the deadline passed before the attempt started")

func (a *attempt) remaining() time.Duration { return a.deadline - a.delivery.now() }

func (a *attempt) acquire(ctx context.Context) error {
	if a.start.Standing {
		return a.instance.limiter.acquireStanding()
	}
	began := a.delivery.now()
	err := a.instance.limiter.acquire(ctx, classOf(a.start.Class), a.delivery.config.QueueTimeout)
	a.queueTime = a.delivery.now() - began
	return err
}

func (a *attempt) release() {
	if a.start.Standing {
		a.instance.limiter.releaseStanding()
		return
	}
	a.instance.limiter.release()
}

func classOf(class api.CallerClass) request.Class {
	if class == api.CallerClass_CALLER_CLASS_BATCH {
		return request.Batch
	}
	return request.Interactive
}

// abandon fences an attempt that did not start, closes its body and refuses its answer.
func (a *attempt) abandon(err error) {
	if a.body != nil {
		_ = a.body.Close()
	}
	d := a.delivery
	d.tableMu.Lock()
	d.table.Abandon(d.now(), a.start.Attempt)
	d.tableMu.Unlock()
	a.answer.refuse(toRefusal(err))
}

// receiveBody returns the complete body. It runs before a slot is acquired, so
// that no slot is held while the body arrives.
func (a *attempt) receiveBody(ctx context.Context, stream api.Agent_DeliverServer) (io.ReadCloser, error) {
	start := a.start
	if len(start.BodyDigest) > 0 {
		return a.delivery.storedBody(ctx, start)
	}
	if start.BodyLength > maxInlineBody {
		return nil, fault.New(fault.TooLarge, "the body must be sent by its digest")
	}
	if start.BodyZstd {
		body, err := blob.Decompress(start.Body)
		if err == nil && uint64(len(body)) != start.BodyLength {
			err = fault.New(fault.DataCorrupt, "the body has another length than announced")
		}
		return io.NopCloser(bytes.NewReader(body)), err
	}
	body := start.Body
	for uint64(len(body)) < start.BodyLength {
		message, err := stream.Recv()
		if err != nil {
			return nil, fault.Wrap(fault.Fenced, err, "the body was cut short")
		}
		body = append(body, message.GetChunk()...)
		if message.GetCancel() || len(message.GetChunk()) == 0 {
			return nil, fault.New(fault.Fenced, "the body was given up")
		}
	}
	if uint64(len(body)) != start.BodyLength || !checksumMatches(body, start.BodyChecksum) {
		return nil, fault.New(fault.DataCorrupt, "the body does not match its length and checksum")
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

func checksumMatches(body, checksum []byte) bool {
	if len(checksum) == 0 {
		return true
	}
	hash := xxhash.New()
	_, _ = hash.Write(body)
	return bytes.Equal(hash.Sum(nil), checksum)
}

// receive reads credit and cancellation messages while the answer is sent.
func (a *attempt) receive(stream api.Agent_DeliverServer, credit *credit, canceled chan struct{}) {
	for {
		message, err := stream.Recv()
		if err != nil {
			return
		}
		if message.GetCancel() {
			close(canceled)
			return
		}
		credit.add(message.GetCredit())
	}
}

// launch starts the call to the backend server. A non-idempotent attempt
// continues after its stream ends, so that a lookup finds its answer.
func (a *attempt) launch(streamCtx context.Context, canceled <-chan struct{}) {
	limit := a.remaining()
	if !a.start.Idempotent {
		streamCtx = context.WithoutCancel(streamCtx)
		limit += overrunLimit
	}
	ctx, cancel := context.WithCancel(streamCtx)
	a.timeout = time.AfterFunc(limit, cancel)
	if a.start.Standing {
		a.timeout.Stop()
	}
	a.delivery.active.Add(1)
	go func() {
		defer a.delivery.active.Add(-1)
		defer cancel()
		defer a.timeout.Stop()
		a.call(ctx)
	}()
	if a.start.Idempotent {
		go func() {
			select {
			case <-canceled:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
}

// KeyInUseError refuses an attempt whose key is claimed by another attempt.
type KeyInUseError struct{ Holder *api.Holder }

// Error returns a message with the attempt that holds the key.
func (e *KeyInUseError) Error() string { return "the key is claimed by attempt " + e.Holder.Attempt }

// claim claims the key for this attempt, and retries until ClaimTimeout. If the
// control group does not answer, the attempt does not run.
func (a *attempt) claim(ctx context.Context) error {
	if a.delivery.config.Claimer == nil {
		return fault.New(fault.NoQuorum, "this agent can't claim keys")
	}
	ctx, cancel := context.WithTimeout(ctx, a.delivery.config.ClaimTimeout)
	defer cancel()
	claim := &api.ClaimRequest{
		Key:         claimKey(a.start),
		Digest:      a.start.RequestDigest,
		Attempt:     a.start.Attempt,
		Server:      a.start.Server,
		Incarnation: a.start.Incarnation,
	}
	for {
		response, err := a.delivery.config.Claimer.Claim(ctx, claim)
		if err == nil {
			return claimResult(response, a.start.Attempt)
		}
		if !timing.Sleep(ctx, claimBackoff) {
			return fault.Wrap(fault.NoQuorum, err, "claim the idempotency key")
		}
	}
}

// claimKey returns the key's name in the control group. When the previous holder
// of the claim never ran, the next attempt claims a key derived from that holder.
func claimKey(start *api.AttemptStart) string {
	key := start.Service + "/" + start.Key
	if start.ClaimAfter != "" {
		key += "\n" + start.ClaimAfter
	}
	return key
}

func claimResult(response *api.ClaimResponse, attempt string) error {
	if response.DigestDiffers {
		return fault.New(fault.Conflict, "the idempotency key was used with another request")
	}
	if response.Granted || response.Attempt == attempt {
		return nil
	}
	held := &KeyInUseError{Holder: &api.Holder{
		Attempt:      response.Attempt,
		Server:       response.Server,
		Incarnation:  response.Incarnation,
		AgentAddress: response.AgentAddress,
	}}
	return fault.Wrap(fault.KeyInUse, held, "claim the idempotency key")
}

func toRefusal(err error) *api.Refusal {
	refusal := &api.Refusal{Kind: fault.KindOf(err).String(), Message: err.Error()}
	var held *KeyInUseError
	if errors.As(err, &held) {
		refusal.Holder = held.Holder
	}
	return refusal
}

func (d *Delivery) refusalMessage(server string, err error) *api.DeliverResponse {
	countRefusal(err)
	return &api.DeliverResponse{
		Message: &api.DeliverResponse_Refusal{Refusal: toRefusal(err)},
		Load:    d.loadOf(server),
	}
}

func (d *Delivery) loadOf(server string) *api.Load {
	d.mu.Lock()
	in, ok := d.instances[server]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	return in.limiter.load()
}
