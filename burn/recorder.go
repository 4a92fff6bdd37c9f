package burn

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Bounds of a Recorder's memory.
const (
	keptMinutes      = 26 * 60 // more than the longest day, in which a clock is put back
	maxServices      = 256
	maxEntries       = 256
	maxIncarnations  = 4 // of one entry, whose late reports are still told from new ones
	maxFutureMinutes = 5 // by which an entry's clock may be ahead
	maxReportCounts  = 4096
)

const secondsPerMinute = 60

// counts are one service's counts over some time.
type counts struct {
	Requests     uint64
	Within       uint64
	NotRun       uint64
	Unknown      uint64
	Retries      uint64
	QueueMicros  int64
	LinkMicros   int64
	ServerMicros int64 // at the backend servers
	Latency      histogram
}

func newCounts() *counts { return &counts{Latency: histogram{}} }

func (c *counts) merge(o *counts) {
	c.Requests += o.Requests
	c.Within += o.Within
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Retries += o.Retries
	c.QueueMicros += o.QueueMicros
	c.LinkMicros += o.LinkMicros
	c.ServerMicros += o.ServerMicros
	c.Latency.merge(o.Latency)
}

// bad returns the requests that were not answered within the objective.
func (c *counts) bad() uint64 { return c.Requests - min(c.Within, c.Requests) }

// minuteCounts are the counts of one minute.
type minuteCounts struct {
	Minute int64 // minutes since 1970
	Counts *counts
}

// series holds a service's minutes in ascending order.
type series []minuteCounts

// at returns the counts of a minute, added when there are none.
func (s *series) at(minute int64) *counts {
	i, found := slices.BinarySearchFunc(*s, minute, func(m minuteCounts, t int64) int { return cmp.Compare(m.Minute, t) })
	if !found {
		*s = slices.Insert(*s, i, minuteCounts{Minute: minute, Counts: newCounts()})
	}
	return (*s)[i].Counts
}

// dropBefore removes the minutes before first.
func (s *series) dropBefore(first int64) {
	i, _ := slices.BinarySearchFunc(*s, first, func(m minuteCounts, t int64) int { return cmp.Compare(m.Minute, t) })
	*s = slices.Delete(*s, 0, i)
}

// sum returns the counts of the minutes from first up to but not including end.
func (s series) sum(first, end int64) *counts {
	total := newCounts()
	for _, m := range s {
		if m.Minute >= first && m.Minute < end {
			total.merge(m.Counts)
		}
	}
	return total
}

// incarnation is the progress of one process's reports.
type incarnation struct {
	ID       uint64
	Sequence uint64 // highest taken in
	Seen     int64  // minutes since 1970
}

// Recorder keeps the service-level counts of the last day by the minute. It is
// deterministic: the same reports with the same times give the same state, so
// it can be part of a replicated state machine. It is not safe for concurrent use.
type Recorder struct {
	services map[string]*series
	entries  map[string][]incarnation
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{services: map[string]*series{}, entries: map[string][]incarnation{}}
}

// Record takes in an entry's report and returns the highest sequence taken in
// from that process. A report whose sequence is not above it was taken in
// before and changes nothing. A report with counts that can't be used is
// refused whole with fault.InvalidArgument or fault.TooLarge.
func (r *Recorder) Record(report *api.EntryReport, now time.Time) (sequence uint64, err error) {
	minute := now.Unix() / secondsPerMinute
	last, known := r.progress(report)
	if known && report.Sequence <= last {
		r.setProgress(report, last, minute)
		return last, nil
	}
	histograms, err := checkReport(report)
	if err != nil {
		return last, err
	}
	r.setProgress(report, report.Sequence, minute)
	for i, c := range report.Counts {
		r.add(c, histograms[i], minute)
	}
	return report.Sequence, nil
}

func checkReport(report *api.EntryReport) ([]histogram, error) {
	if len(report.Counts) > maxReportCounts {
		return nil, fault.New(fault.TooLarge, "report with too many counts")
	}
	histograms := make([]histogram, len(report.Counts))
	for i, c := range report.Counts {
		h, err := decodeHistogram(c.LatencyHistogram)
		if err != nil {
			return nil, err
		}
		histograms[i] = h
	}
	return histograms, nil
}

// add adds one service's minute, unless it lies outside what is kept.
func (r *Recorder) add(c *api.ServiceCounts, latency histogram, now int64) {
	minute := c.MinuteUnix / secondsPerMinute
	if minute <= now-keptMinutes || minute > now+maxFutureMinutes {
		return
	}
	s := r.services[c.Service]
	if s == nil {
		if len(r.services) >= maxServices && !r.dropSilentService(now) {
			return
		}
		s = &series{}
		r.services[c.Service] = s
	}
	s.dropBefore(now - keptMinutes + 1)
	s.at(minute).merge(&counts{
		Requests:     c.Requests,
		Within:       c.WithinObjective,
		NotRun:       c.NotRun,
		Unknown:      c.Unknown,
		Retries:      c.Retries,
		QueueMicros:  micros(c.QueueMs),
		LinkMicros:   micros(c.LinkMs),
		ServerMicros: micros(c.BackendMs),
		Latency:      latency,
	})
}

// micros converts milliseconds; what is not a time counts as none.
func micros(millis float64) int64 {
	const maxMicros = 1 << 52
	scaled := millis * 1000
	if !(scaled > 0 && scaled < maxMicros) {
		return 0
	}
	return int64(scaled)
}

// dropSilentService removes a service without counts in the kept minutes.
func (r *Recorder) dropSilentService(now int64) bool {
	for name, s := range r.services {
		s.dropBefore(now - keptMinutes + 1)
		if len(*s) == 0 {
			delete(r.services, name)
		}
	}
	return len(r.services) < maxServices
}

// progress returns the highest sequence taken in from the report's process.
func (r *Recorder) progress(report *api.EntryReport) (sequence uint64, known bool) {
	for _, one := range r.entries[report.Entry] {
		if one.ID == report.Incarnation {
			return one.Sequence, true
		}
	}
	return 0, false
}

func (r *Recorder) setProgress(report *api.EntryReport, sequence uint64, minute int64) {
	list := r.entries[report.Entry]
	if list == nil && len(r.entries) >= maxEntries {
		r.dropOldestEntry()
	}
	list = slices.DeleteFunc(list, func(one incarnation) bool { return one.ID == report.Incarnation })
	list = append(list, incarnation{ID: report.Incarnation, Sequence: sequence, Seen: minute})
	r.entries[report.Entry] = list[max(0, len(list)-maxIncarnations):]
}

// dropOldestEntry forgets the entry that has been silent for longest; names break ties.
func (r *Recorder) dropOldestEntry() {
	oldest, oldestSeen := "", int64(0)
	for name, list := range r.entries {
		seen := list[len(list)-1].Seen
		if oldest == "" || seen < oldestSeen || (seen == oldestSeen && name < oldest) {
			oldest, oldestSeen = name, seen
		}
	}
	delete(r.entries, oldest)
}
