package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller or an operator got.
type answer struct {
	status int // 0 without an answer
	body   string
}

// send makes one HTTP request over a connection of its own, and closes it afterwards.
func send(method, address, path, host string, body any, timeout time.Duration) answer {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	if host != "" {
		request.Host = host
		request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{response.StatusCode, string(bytes.TrimSpace(text))}
}

// operate sends an operator's order to the machines in turn until one acknowledges it, each
// within a second, for at most limit.
func (d *deployment) operate(path string, body any, limit time.Duration, order ...*machine) (int, bool) {
	until := time.Now().Add(limit)
	for try := 0; time.Now().Before(until); try++ {
		m := order[try%len(order)]
		a := send("POST", fmt.Sprintf("%s:%d", m.ip, d.ports.control), path, "", body, time.Second)
		d.rec.note("operator: POST %s to %s: %d %.80s", path, m.name, a.status, a.body)
		if a.status/100 == 2 {
			return a.status, true
		}
		time.Sleep(min(time.Duration(try+1)*50*time.Millisecond, 400*time.Millisecond))
	}
	return 0, false
}

// call makes a caller's call, again at other entries while it is not known what became of it.
func (d *deployment) call(method, path string, body any, tries int) answer {
	var a answer
	for try := range tries {
		m := d.core[try%len(d.core)]
		a = send(method, fmt.Sprintf("%s:%d", m.ip, d.ports.front), path, host, body, 3*time.Second)
		d.rec.note("caller: %s %s to %s: %d %.80s", method, path, m.name, a.status, a.body)
		if a.status != 0 && a.status != 502 && a.status != 504 && a.status != 503 {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

const (
	host    = "tolls.example"
	service = "toll-ledger"
)

// route is a route of the configuration.
type route map[string]any

func newRoute(name, prefix string, attempts int) route {
	return route{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_completion_ms": 300000, "priority": 0, "service": service, "max_attempts": attempts, "slack_factor": 2.0,
		"allowed_regions": []string{},
	}
}

func configuration(version int, routes ...route) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// configure hands in the first configuration until it is accepted.
func (d *deployment) configure(c map[string]any) error {
	if _, ok := d.operate("/v1/Config.Replace", c, 20*time.Second, d.core...); !ok {
		return fmt.Errorf("the first configuration was not accepted")
	}
	return nil
}
