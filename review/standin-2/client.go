package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	hostName = "nony24.example"
	prefixA  = "/lohu930/"
	prefixB  = "/pule252/"
)

// configuration has two queues of one service.
func configuration(version int) string {
	route := func(name, prefix string, priority int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,"target_completion_ms":400,"priority":%d,"service":"toll-ledger","max_attempts":3,"slack_factor":1.5,"allowed_regions":[]}`,
			name, hostName, prefix, priority)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":"toll-ledger","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"enforces_capacity":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, route("r-3hwrr6x", prefixA, 0), route("r-9n73hh2", prefixB, 2))
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) post(url, body string, timeout time.Duration) (int, string, error) {
	return do("POST", url, "", strings.NewReader(body), timeout)
}

func do(method, url, host string, body io.Reader, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, "", err
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	answer, err := httpClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(data)), err
}

// call makes one call of a client at a front.
func (f *fleet) call(method, ip, prefix, id string, body io.Reader, timeout time.Duration) (int, string, error) {
	return do(method, fmt.Sprintf("http://%s:%d%s%s", ip, portFrontend, prefix, id), hostName, body, timeout)
}

// clientCall makes a call and records it.
func (f *fleet) clientCall(who, method, prefix, id, body string) (int, string) {
	return f.clientCallAt(f.fronts[0], who, method, prefix, id, body)
}

func (f *fleet) clientCallAt(ip, who, method, prefix, id, body string) (int, string) {
	status, answer, err := f.call(method, ip, prefix, id, strings.NewReader(body), 3*time.Second)
	text := fmt.Sprint(status)
	if err != nil {
		text = "no answer"
	}
	f.record.note("%s: %s %s%s -> %s %s", who, method, prefix, id, text, answer)
	return status, answer
}

// submit hands a job in until it is accepted or refused for good.
func (f *fleet) submit(who, prefix, id, body string) error {
	for i := range 10 {
		status, _ := f.clientCallAt(f.fronts[i%3], who, "POST", prefix, id, body)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: the job %s was not accepted", errCannotRun, id)
}
