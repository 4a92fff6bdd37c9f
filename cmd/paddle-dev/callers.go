package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthpaddle/fault"
	"amaranthpaddle/standin"
	"amaranthpaddle/timing"
)

const (
	callersPerService = 12
	callerPause       = 40 * time.Millisecond // mean time between a caller's requests
	requestDeadline   = 3 * time.Second
	smallBody         = 1 << 10
	morningBody       = 2 << 20 // the same large request of each day
	maxLatencyMicros  = 60_000_000
	outcomeHeader     = "Paddle-Outcome"
	deadlineHeader    = "Paddle-Deadline-Ms"
	keyHeader         = "Idempotency-Key"
	firstHeader       = "Paddle-First-Sending"
)

// sentRequest is one request as its caller saw it.
type sentRequest struct {
	token      string
	idempotent bool
	outcome    fault.Outcome
}

// callerStats are the figures of one service's callers.
type callerStats struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // microseconds
	requests []sentRequest
	notRun   int
	unknown  int
	wrong    []string // answers that were not whole or not the caller's own
}

func newCallerStats() *callerStats {
	return &callerStats{latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// callers sends one service's requests through the entries until ctx ends.
func callers(ctx context.Context, service string, entries []string, stats *callerStats) {
	var wait sync.WaitGroup
	for i := range callersPerService {
		wait.Add(1)
		go func() {
			defer wait.Done()
			caller(ctx, service, entries, i, stats)
		}()
	}
	wait.Wait()
}

func caller(ctx context.Context, service string, entries []string, number int, stats *callerStats) {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	small := randomBytes(random, smallBody)
	morning := randomBytes(rand.New(rand.NewPCG(7, 7)), morningBody)
	if number < 4 {
		sendOne(ctx, service, entries[number%len(entries)], "morning", false, morning, stats)
	}
	for n := 0; ctx.Err() == nil; n++ {
		token := service + "-" + strconv.Itoa(number) + "-" + strconv.Itoa(n)
		charge := n%2 == 1
		sendOne(ctx, service, entries[n%len(entries)], token, charge, small, stats)
		timing.Sleep(ctx, time.Duration(random.Float64()*2*float64(callerPause)))
	}
}

// sendOne sends a request and records what its caller may conclude. The entry
// gets a context of its own: a run's end must not cut a request in progress.
func sendOne(ctx context.Context, service, entry, token string, charge bool, body []byte, stats *callerStats) {
	if ctx.Err() != nil {
		return
	}
	began := time.Now()
	answer, outcome, err := send(service, entry, token, charge, body)
	elapsed := time.Since(began)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	_ = stats.latency.RecordValue(elapsed.Microseconds())
	stats.requests = append(stats.requests, sentRequest{token: token, idempotent: !charge, outcome: outcome})
	switch outcome {
	case fault.OutcomeDone:
		if problem := checkAnswer(answer, token, body); problem != "" {
			stats.wrong = append(stats.wrong, problem)
		}
	case fault.OutcomeNotRun:
		stats.notRun++
	default:
		stats.unknown++
	}
	if err != nil && *verbose {
		fmt.Printf("  %s %s: %s: %v\n", service, token, outcome, err)
	}
}

func send(service, entry, token string, charge bool, body []byte) (*standin.Answer, fault.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/"+service+"/check", bytes.NewReader(body))
	if err != nil {
		return nil, fault.OutcomeNotRun, err
	}
	request.Header.Set(standin.TokenHeader, token)
	request.Header.Set(deadlineHeader, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	if charge {
		request.Header.Set(keyHeader, token)
		request.Header.Set(firstHeader, "true")
	} else {
		request.Header.Set("Paddle-Idempotent", "true")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.OutcomeUnknown, err
	}
	defer response.Body.Close()
	return readAnswer(response)
}

func readAnswer(response *http.Response) (*standin.Answer, fault.Outcome, error) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fault.OutcomeUnknown, err
	}
	outcome := fault.Outcome(response.Header.Get(outcomeHeader))
	if outcome != fault.OutcomeDone {
		if outcome != fault.OutcomeNotRun {
			outcome = fault.OutcomeUnknown
		}
		return nil, outcome, fmt.Errorf("%s: %s", response.Status, data)
	}
	answer := &standin.Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, fault.OutcomeDone, err
	}
	return answer, fault.OutcomeDone, nil
}

func checkAnswer(answer *standin.Answer, token string, body []byte) string {
	if answer == nil {
		return "the answer to " + token + " was not whole"
	}
	digest := sha256.Sum256(body)
	if answer.Token != token || answer.Digest != hex.EncodeToString(digest[:]) || answer.Size != len(body) {
		return fmt.Sprintf("request %s got the answer to %s (%d of %d bytes)", token, answer.Token, answer.Size, len(body))
	}
	return ""
}

// problems compares what the callers were told with what really ran.
func (s *callerStats) problems(ledger *standin.Ledger) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := append([]string(nil), s.wrong...)
	for _, request := range s.requests {
		if request.token == "morning" {
			continue // several callers send it under one token
		}
		runs := ledger.RequestRuns(request.token)
		switch {
		case request.outcome == fault.OutcomeDone && runs == 0:
			found = append(found, "request "+request.token+" was answered and never ran")
		case request.outcome == fault.OutcomeNotRun && runs > 0:
			found = append(found, "request "+request.token+" was called not run and ran")
		case !request.idempotent && runs > 1:
			found = append(found, fmt.Sprintf("request %s ran %d times", request.token, runs))
		}
	}
	sort.Strings(found)
	return found
}

func (s *callerStats) quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

func randomBytes(random *rand.Rand, size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}
