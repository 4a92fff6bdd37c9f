package plan

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"io"
	"slices"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

// MaxEncodedBytes limits an encoded plan.
const MaxEncodedBytes = 8 << 20

type wirePlan struct {
	Number        uint64        `json:"number"`
	Day           string        `json:"day"`
	TimeZone      string        `json:"time_zone"`
	LatencyWeight float64       `json:"latency_weight"`
	Zones         []wireZone    `json:"zones"`
	Services      []wireService `json:"services"`
	Jobs          []wireJob     `json:"jobs"`
	Teams         []wireTeam    `json:"teams"`
}

type wireVector struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

type wireZone struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"in_service"`
}

type wireService struct {
	Name              string     `json:"name"`
	Team              string     `json:"team"`
	Instances         int        `json:"instances"`
	Size              wireVector `json:"size"`
	ObjectiveNanos    int64      `json:"objective_ns"`
	ObjectiveFraction float64    `json:"objective_fraction"`
	Slots             int        `json:"slots"`
	Connections       int        `json:"connections"`
}

type wireJob struct {
	Name         string     `json:"name"`
	Team         string     `json:"team"`
	Tasks        int        `json:"tasks"`
	Size         wireVector `json:"size"`
	RunTimeNanos int64      `json:"run_time_ns"`
	Deadline     string     `json:"deadline"` // RFC 3339 in UTC, empty when there is none
	Priority     int        `json:"priority"`
}

type wireTeam struct {
	Name  string     `json:"name"`
	Quota wireVector `json:"quota"`
}

// Encode returns the canonical JSON encoding of p: fixed field order, records
// sorted by name, times in UTC. Plans with the same content encode to the same
// bytes. It fails with fault.InvalidArgument when a fraction is not a number.
func (p *DayPlan) Encode() ([]byte, error) {
	data, err := json.Marshal(p.wire())
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "encode plan")
	}
	return data, nil
}

// Decode replaces p by the plan encoded in data. The encoding must be complete,
// without unknown fields, and the plan must pass Check; else p keeps its value
// and the error has kind fault.InvalidArgument or fault.TooLarge.
func (p *DayPlan) Decode(data []byte) error {
	if len(data) > MaxEncodedBytes {
		return fault.Newf(fault.TooLarge, "plan of %d bytes exceeds %d bytes", len(data), MaxEncodedBytes)
	}
	var w wirePlan
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "decode plan")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(fault.InvalidArgument, "decode plan: data after the plan")
	}
	decoded, err := w.plan()
	if err != nil {
		return err
	}
	if err := decoded.Check().Err(); err != nil {
		return err
	}
	*p = *decoded
	return nil
}

// Digest returns the SHA-256 of the canonical encoding of p, which must have
// passed Check.
func (p *DayPlan) Digest() [sha256.Size]byte {
	data, err := p.Encode()
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

func (p *DayPlan) wire() wirePlan {
	w := wirePlan{
		Number:        p.Number,
		Day:           p.Day,
		TimeZone:      p.TimeZone,
		LatencyWeight: p.LatencyWeight + 0, // a negative zero becomes zero
		Zones:         []wireZone{},
		Services:      []wireService{},
		Jobs:          []wireJob{},
		Teams:         []wireTeam{},
	}
	for _, z := range p.Zones {
		w.Zones = append(w.Zones, wireZone(z))
	}
	for _, s := range p.Services {
		w.Services = append(w.Services, wireService{
			Name: s.Name, Team: s.Team, Instances: s.Instances, Size: wireVector(s.Size),
			ObjectiveNanos: int64(s.Objective), ObjectiveFraction: s.ObjectiveFraction,
			Slots: s.Slots, Connections: s.Connections,
		})
	}
	for _, j := range p.Jobs {
		w.Jobs = append(w.Jobs, wireJob{
			Name: j.Name, Team: j.Team, Tasks: j.Tasks, Size: wireVector(j.Size),
			RunTimeNanos: int64(j.RunTime), Deadline: encodeTime(j.Deadline), Priority: j.Priority,
		})
	}
	for _, t := range p.Teams {
		w.Teams = append(w.Teams, wireTeam{Name: t.Name, Quota: wireVector(t.Quota)})
	}
	slices.SortStableFunc(w.Zones, func(a, b wireZone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(w.Services, func(a, b wireService) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(w.Jobs, func(a, b wireJob) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(w.Teams, func(a, b wireTeam) int { return cmp.Compare(a.Name, b.Name) })
	return w
}

func (w *wirePlan) plan() (*DayPlan, error) {
	p := &DayPlan{Number: w.Number, Day: w.Day, TimeZone: w.TimeZone, LatencyWeight: w.LatencyWeight}
	for _, z := range w.Zones {
		p.Zones = append(p.Zones, Zone(z))
	}
	for _, s := range w.Services {
		p.Services = append(p.Services, Service{
			Name: s.Name, Team: s.Team, Instances: s.Instances, Size: resource.Vector(s.Size),
			Objective: time.Duration(s.ObjectiveNanos), ObjectiveFraction: s.ObjectiveFraction,
			Slots: s.Slots, Connections: s.Connections,
		})
	}
	for _, j := range w.Jobs {
		deadline, err := decodeTime(j.Deadline)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidArgument, err, "decode plan: deadline of job "+j.Name)
		}
		p.Jobs = append(p.Jobs, Job{
			Name: j.Name, Team: j.Team, Tasks: j.Tasks, Size: resource.Vector(j.Size),
			RunTime: time.Duration(j.RunTimeNanos), Deadline: deadline, Priority: j.Priority,
		})
	}
	for _, t := range w.Teams {
		p.Teams = append(p.Teams, Team{Name: t.Name, Quota: resource.Vector(t.Quota)})
	}
	return p, nil
}

func encodeTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

func decodeTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	return t.UTC(), err
}
