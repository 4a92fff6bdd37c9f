package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// taskOf returns how long a run of a task takes and whether it fails, which its
// payload and its name fix.
func taskOf(spec string, name taskName, run int64) (time.Duration, bool) {
	hash := fnv.New64a()
	fmt.Fprint(hash, spec, name, run)
	random := rand.New(rand.NewPCG(hash.Sum64(), 1))
	takes, fails := time.Duration(100+random.IntN(900))*time.Millisecond, random.IntN(20) == 0
	if long, isLong := longTask(spec, random.Float64()); isLong {
		takes = long
	}
	return takes, fails
}

// crashingPayload begins the payload of a job whose first task crashes each worker that
// starts it.
const crashingPayload = "crash"

func crashes(spec string, name taskName) bool {
	return strings.HasPrefix(spec, crashingPayload) && name.group == 0 && name.index == 0
}

const (
	queueHost    = "soak.example"
	maxAttempts  = 3
	wideCPU      = 6000 // milli-cores of a wide task, most of a worker
	callDeadline = 3 * time.Second
)

// queuePrefixes are the path prefixes of the queues, which share their service.
var queuePrefixes = []string{"/jobs/", "/more/"}

// caller hands in jobs to one queue, one after the other, and looks at them.
type caller struct {
	prefix  string // of its queue
	random  *rand.Rand
	entries []string // addresses
	check   *checker
	client  *http.Client // keeps its connections
	open    []string     // jobs that were accepted and have not ended
}

func newCaller(seed uint64, prefix string, entries []string, check *checker) *caller {
	return &caller{
		prefix: prefix,
		random: rand.New(rand.NewPCG(seed, 2)), entries: entries, check: check,
		client: &http.Client{Timeout: callDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run hands in jobs until stop is closed.
func (c *caller) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+c.random.IntN(300)) * time.Millisecond):
		}
		if c.random.IntN(3) > 0 {
			c.submit()
		}
		c.lookAtOpen(3)
	}
}

// call makes a call about a job at some entry.
func (c *caller) call(method, id string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+c.entries[c.random.IntN(len(c.entries))]+c.prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = queueHost
	request.Header.Set("Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	return answerOf(c.client, request)
}

// answer is the answer to a call.
type answer struct {
	status     int // 0 without a whole answer
	body       []byte
	retryAfter string
}

// refused reports whether the call was answered as one that had no effect.
func (a answer) refused() bool { return a.status == 429 || a.status == 503 }

func answerOf(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, data, response.Header.Get("Retry-After")}
}

// submit hands in a job of the wide load, and cancels some.
func (c *caller) submit() {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	spec := fmt.Sprintf("work of %s", id)
	if c.random.IntN(30) == 0 {
		spec = fmt.Sprintf("%s %s", crashingPayload, id)
	}
	groups, body := c.job(spec)
	c.handIn(id, spec, groups, body)
	if c.random.IntN(8) == 0 {
		c.cancel(id)
	}
}

// handIn hands in a job, again as long as it is not known whether it was taken.
func (c *caller) handIn(id, spec string, groups []groupView, body []byte) {
	for range 4 {
		c.check.sent(id, spec, groups)
		got := c.call("POST", id, body)
		c.check.answered(id, got)
		if got.status/100 == 2 {
			c.open = append(c.open, id)
			break
		}
		if got.refused() {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// job draws the groups of a job; one job of eight is wide.
func (c *caller) job(spec string) ([]groupView, []byte) {
	var groups []groupView
	var steps []map[string]any
	wide := c.random.IntN(8) == 0
	for g := range 1 + c.random.IntN(2) {
		group := groupView{count: 1 + c.random.IntN(4), milliCPU: int64(500 + 500*c.random.IntN(5))}
		if wide && g == 0 {
			group = groupView{count: 1, milliCPU: wideCPU}
		}
		step := map[string]any{"count": group.count, "cpu": group.milliCPU, "mem_mb": 100, "estimated_ms": 500}
		if g > 0 {
			group.dependsOn = []int{0}
			step["depends_on"] = []int{0}
		}
		groups, steps = append(groups, group), append(steps, step)
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		panic(err) // maps of plain values can be encoded
	}
	return groups, body
}

func (c *caller) cancel(id string) {
	c.check.cancelSent(id)
	if c.call("DELETE", id, nil).status/100 == 2 {
		c.check.cancelAcknowledged(id)
	}
}

// lookAtOpen looks at some of the jobs that have not ended.
func (c *caller) lookAtOpen(most int) {
	for range min(most, len(c.open)) {
		i := c.random.IntN(len(c.open))
		if c.look(c.open[i]) {
			c.open = slices.Delete(c.open, i, i+1)
		}
	}
}

// look asks for a job's state and reports whether it is final.
func (c *caller) look(id string) bool {
	asked := time.Now()
	got := c.call("GET", id, nil)
	var job struct {
		State string `json:"state"`
	}
	switch {
	case got.status == 410:
		c.check.shown(id, "", true, asked)
	case got.status == 200 && json.Unmarshal(got.body, &job) == nil:
		c.check.shown(id, job.State, false, asked)
		return job.State == "completed" || job.State == "failed" || job.State == "cancelled"
	}
	return false
}

// operator changes the configuration and reads it back.
type operator struct {
	random  *rand.Rand
	control []string // addresses
	check   *checker
	client  *http.Client
	version int64
}

func newOperator(seed uint64, control []string, check *checker) *operator {
	return &operator{
		random: rand.New(rand.NewPCG(seed, 3)), control: control, check: check,
		client: &http.Client{Timeout: 1500 * time.Millisecond},
	}
}

func (o *operator) call(method, path string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+o.control[o.random.IntN(len(o.control))]+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	return answerOf(o.client, request)
}

// configure sends the next version until it is acknowledged or stop is closed.
func (o *operator) configure(stop chan struct{}) bool {
	o.version += int64(1 + o.random.IntN(3))
	var routes []string
	for i, prefix := range queuePrefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"q%d","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,`+
			`"target_completion_ms":1000,"priority":0,"service":"svc","max_attempts":%d,"slack_factor":2}`, i, queueHost, prefix, maxAttempts))
	}
	body := fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"svc"}],"limits":{}}`, o.version, strings.Join(routes, ","))
	for {
		if o.call("POST", "/v1/Config.Replace", body).status == 200 {
			o.check.configured(o.version)
			return true
		}
		select {
		case <-stop:
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// configureWithin is configure for at most a time.
func (o *operator) configureWithin(limit time.Duration) bool {
	stop := make(chan struct{})
	timer := time.AfterFunc(limit, func() { close(stop) })
	defer timer.Stop()
	return o.configure(stop)
}

func (o *operator) read() bool {
	newest := o.check.acknowledged()
	got := o.call("GET", "/v1/Config.Get", nil)
	var configuration struct {
		Version int64 `json:"version"`
	}
	if got.status != 200 || json.Unmarshal(got.body, &configuration) != nil {
		return false
	}
	o.check.read(configuration.Version, newest)
	return true
}

// run changes and reads the configuration until stop is closed.
func (o *operator) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+o.random.IntN(800)) * time.Millisecond):
		}
		if o.random.IntN(3) == 0 {
			o.configure(stop)
		}
		o.read()
	}
}

// setZone takes a zone out of service or in again, and reports when that was acknowledged.
func (o *operator) setZone(zone string, out bool, stop chan struct{}) bool {
	verb := "Finish"
	if out {
		verb = "Begin"
	}
	for {
		if o.call("POST", "/v1/Evacuations."+verb+"/"+zone, nil).status == 200 {
			return true
		}
		select {
		case <-stop:
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
}
