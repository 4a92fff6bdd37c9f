package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"amaranthpaddle/fault"
)

// maxResponseBytes limits the size of a worker's response.
const maxResponseBytes = 8 << 20

// Client calls the HTTP interface of the worker at a base URL.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the worker at baseURL, such as http://127.0.0.1:7100.
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{base: baseURL, http: client}
}

// Start starts a run. Errors: fault.Stale for an old generation,
// fault.BackendUnavailable when the worker did not respond.
func (c *Client) Start(ctx context.Context, task string, request StartRequest) error {
	return c.post(ctx, taskPath(task, "start"), request)
}

// Throttle limits the CPU time of a run.
func (c *Client) Throttle(ctx context.Context, task string, request ThrottleRequest) error {
	return c.post(ctx, taskPath(task, "throttle"), request)
}

// Stop requests that a run stop and does not wait for it: a final phase in its
// status shows that it has stopped.
func (c *Client) Stop(ctx context.Context, task string, request StopRequest) error {
	return c.post(ctx, taskPath(task, "stop"), request)
}

// ExtendLease extends the lease of all leased runs. Errors: fault.Stale when
// the epoch belongs to another worker process.
func (c *Client) ExtendLease(ctx context.Context, request LeaseRequest) error {
	return c.post(ctx, "/v1/lease", request)
}

// Forget deletes the worker's record of a run that has ended.
func (c *Client) Forget(ctx context.Context, task string, generation uint64) error {
	path := taskPath(task, "") + "?generation=" + strconv.FormatUint(generation, 10)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

// Tasks returns the status of every run that the worker has a record of.
func (c *Client) Tasks(ctx context.Context) (*TaskList, error) {
	list := &TaskList{}
	return list, c.call(ctx, http.MethodGet, "/v1/tasks", nil, list)
}

// Usage returns the usage samples whose interval ended after afterMS on the worker's clock.
func (c *Client) Usage(ctx context.Context, afterMS int64) (*UsageList, error) {
	list := &UsageList{}
	path := "/v1/usage?after_ms=" + strconv.FormatInt(afterMS, 10)
	return list, c.call(ctx, http.MethodGet, path, nil, list)
}

func taskPath(task, verb string) string {
	path := "/v1/tasks/" + url.PathEscape(task)
	if verb != "" {
		path += "/" + verb
	}
	return path
}

func (c *Client) post(ctx context.Context, path string, body any) error {
	return c.call(ctx, http.MethodPost, path, body, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	request, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fault.Wrap(fault.BackendUnavailable, err, "worker")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fault.BackendUnavailable, err, "worker response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fault.Newf(kindOfStatus(response.StatusCode), "worker answered %s: %s", response.Status, data)
	}
	if result == nil {
		return nil
	}
	return fault.Wrap(fault.Internal, json.Unmarshal(data, result), "worker response")
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encode")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "worker address")
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func kindOfStatus(status int) fault.Kind {
	switch status {
	case http.StatusConflict:
		return fault.Stale
	case http.StatusNotFound:
		return fault.NotFound
	case http.StatusBadRequest:
		return fault.InvalidArgument
	default:
		return fault.BackendUnavailable
	}
}
