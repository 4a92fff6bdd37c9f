package plan

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"
	_ "time/tzdata" // a VM may lack the time zone database

	"amaranthpaddle/resource"
)

// Bounds of a plan's values.
const (
	maxInstances   = 10_000
	maxTasks       = 100_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxPriority    = 1_000

	maxMilliCPU     = 1_000_000 // of one instance or task
	maxMemoryMiB    = 16 << 20  // of one instance or task
	maxAccelerators = 64        // of one instance or task
	maxQuotaFactor  = 10_000    // a quota's bound is this many times that of one task

	minObjective     = 100 * time.Microsecond
	maxObjective     = 10 * time.Minute
	minFraction      = 0.5
	maxFraction      = 0.99999
	minRunTime       = time.Millisecond
	maxRunTime       = 7 * 24 * time.Hour
	maxDeadlineAfter = 7 * 24 * time.Hour // after the start of the plan's day
)

// dayLayout is the layout of DayPlan.Day.
const dayLayout = "2006-01-02"

// nameRule states what namePattern matches.
const nameRule = "a name has 1 to 63 letters (a-z, A-Z), digits, '-', '_' or '.', and starts with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// place is where in a plan a problem lies: a column of one record.
type place struct {
	record record
	index  int // among the plan's records of that kind
	column column
}

type problem struct {
	place
	message string
}

// checker collects every problem of one plan.
type checker struct {
	plan     *DayPlan
	teams    map[string]Team
	problems []problem
}

// Check returns every fault of p, none when it is valid.
func (p *DayPlan) Check() Faults {
	var faults Faults
	for _, found := range p.problems() {
		faults = append(faults, Fault{Subject: p.subject(found.place), Message: found.message})
	}
	return faults
}

// Unplaceable returns a fault for each service and job of which one instance or
// task fits none of the given VM capacities.
func (p *DayPlan) Unplaceable(capacities []resource.Vector) Faults {
	fitsSome := func(size resource.Vector) bool {
		for _, capacity := range capacities {
			if size.Fits(capacity) {
				return true
			}
		}
		return false
	}
	var faults Faults
	for _, s := range p.Services {
		if !fitsSome(s.Size) {
			faults = append(faults, Fault{Subject: "service " + s.Name, Message: "no VM of the fleet can hold one instance"})
		}
	}
	for _, j := range p.Jobs {
		if !fitsSome(j.Size) {
			faults = append(faults, Fault{Subject: "job " + j.Name, Message: "no VM of the fleet can hold one task"})
		}
	}
	return faults
}

// Location returns the time zone of the plan's day, UTC when it is not known.
func (p *DayPlan) Location() *time.Location {
	location, err := time.LoadLocation(p.TimeZone)
	if err != nil || strings.EqualFold(p.TimeZone, "local") {
		return time.UTC
	}
	return location
}

// DayStart returns the start of the plan's day, the zero time when Day is not valid.
func (p *DayPlan) DayStart() time.Time {
	start, err := time.ParseInLocation(dayLayout, p.Day, p.Location())
	if err != nil {
		return time.Time{}
	}
	return start
}

func (p *DayPlan) problems() []problem {
	c := &checker{plan: p, teams: map[string]Team{}}
	for _, team := range p.Teams {
		c.teams[team.Name] = team
	}
	c.checkHeader()
	c.checkZones()
	c.checkTeams()
	c.checkServices()
	c.checkJobs()
	return c.problems
}

func (c *checker) add(at place, format string, args ...any) {
	c.problems = append(c.problems, problem{place: at, message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkHeader() {
	p := c.plan
	at := func(col column) place { return place{recordPlan, 0, col} }
	if p.Number == 0 {
		c.add(at(colNumber), "the plan number must be at least 1")
	}
	if _, err := time.Parse(dayLayout, p.Day); err != nil {
		c.add(at(colDay), "%q is not a day written as YYYY-MM-DD", p.Day)
	}
	if _, err := time.LoadLocation(p.TimeZone); err != nil || strings.EqualFold(p.TimeZone, "local") {
		c.add(at(colTimeZone), "%q is not an IANA time zone such as Europe/Dublin", p.TimeZone)
	}
	if math.IsNaN(p.LatencyWeight) || p.LatencyWeight < 0 || p.LatencyWeight > 1 {
		c.add(at(colLatencyWeight), "the latency weight must be from 0 to 1")
	}
}

func (c *checker) checkZones() {
	if len(c.plan.Zones) == 0 {
		c.add(place{record: recordZone, index: -1}, "the plan has no zone")
	}
	names := newNameSet(c, recordZone)
	for i, z := range c.plan.Zones {
		names.check(i, z.Name)
		if !namePattern.MatchString(z.Region) {
			c.add(place{recordZone, i, colRegion}, "%q: %s", z.Region, nameRule)
		}
	}
}

func (c *checker) checkTeams() {
	names := newNameSet(c, recordTeam)
	for i, t := range c.plan.Teams {
		names.check(i, t.Name)
		c.checkVector(recordTeam, i, t.Quota, maxQuotaFactor)
	}
}

func (c *checker) checkServices() {
	names := newNameSet(c, recordService)
	for i, s := range c.plan.Services {
		at := func(col column) place { return place{recordService, i, col} }
		names.check(i, s.Name)
		c.checkTeam(at(colTeam), s.Team)
		c.checkVector(recordService, i, s.Size, 1)
		c.checkQuota(recordService, i, s.Team, s.Size)
		c.checkCount(at(colInstances), s.Instances, 1, maxInstances)
		c.checkCount(at(colSlots), s.Slots, 1, maxSlots)
		c.checkCount(at(colConnections), s.Connections, 1, maxConnections)
		if s.Connections < s.Slots {
			c.add(at(colConnections), "%d connections are fewer than %d slots", s.Connections, s.Slots)
		}
		if s.Objective < minObjective || s.Objective > maxObjective {
			c.add(at(colObjective), "the objective must be from %v to %v", minObjective, maxObjective)
		}
		if !(s.ObjectiveFraction >= minFraction && s.ObjectiveFraction <= maxFraction) {
			c.add(at(colObjectivePercent), "the share of requests must be from 50 to 99.999 percent")
		}
	}
}

func (c *checker) checkJobs() {
	names := newNameSet(c, recordJob)
	start := c.plan.DayStart()
	for i, j := range c.plan.Jobs {
		at := func(col column) place { return place{recordJob, i, col} }
		names.check(i, j.Name)
		c.checkTeam(at(colTeam), j.Team)
		c.checkVector(recordJob, i, j.Size, 1)
		c.checkQuota(recordJob, i, j.Team, j.Size)
		c.checkCount(at(colTasks), j.Tasks, 1, maxTasks)
		c.checkCount(at(colPriority), j.Priority, 0, maxPriority)
		if j.RunTime < minRunTime || j.RunTime > maxRunTime {
			c.add(at(colRunTime), "the run time must be from %v to %v", minRunTime, maxRunTime)
		}
		if j.Deadline.IsZero() || start.IsZero() {
			continue
		}
		if j.Deadline.Before(start) || j.Deadline.After(start.Add(maxDeadlineAfter)) {
			c.add(at(colDeadline), "the deadline must be within %d days from the start of %s",
				maxDeadlineAfter/(24*time.Hour), c.plan.Day)
		}
	}
}

func (c *checker) checkTeam(at place, team string) {
	if _, known := c.teams[team]; !known {
		c.add(at, "no team row declares %q", team)
	}
}

func (c *checker) checkCount(at place, n, low, high int) {
	if n < low || n > high {
		c.add(at, "%d is not from %d to %d", n, low, high)
	}
}

// checkVector checks the size of one instance or task, or a quota, whose bounds are factor times higher.
func (c *checker) checkVector(r record, i int, v resource.Vector, factor int64) {
	if v.MilliCPU < 1 || v.MilliCPU > maxMilliCPU*factor {
		c.add(place{r, i, colCores}, "the cores must be from 0.001 to %d", maxMilliCPU*factor/1000)
	}
	if v.MemoryMiB < 1 || v.MemoryMiB > maxMemoryMiB*factor {
		c.add(place{r, i, colMemory}, "the memory must be more than 0 and at most %d GiB", maxMemoryMiB*factor/1024)
	}
	if v.Accelerators < 0 || v.Accelerators > maxAccelerators*factor {
		c.add(place{r, i, colAccelerators}, "the accelerators must be from 0 to %d", maxAccelerators*factor)
	}
}

// checkQuota reports an instance or task that its team's quota can never hold.
func (c *checker) checkQuota(r record, i int, name string, size resource.Vector) {
	team, known := c.teams[name]
	if !known {
		return
	}
	if size.MilliCPU > team.Quota.MilliCPU {
		c.add(place{r, i, colCores}, "one needs more cores than the whole quota of team %s", name)
	}
	if size.MemoryMiB > team.Quota.MemoryMiB {
		c.add(place{r, i, colMemory}, "one needs more memory than the whole quota of team %s", name)
	}
	if size.Accelerators > team.Quota.Accelerators {
		c.add(place{r, i, colAccelerators}, "one needs more accelerators than the whole quota of team %s", name)
	}
}

// nameSet finds malformed and repeated names among the records of one kind.
type nameSet struct {
	checker *checker
	record  record
	seen    map[string]string // lower case to the name as written
}

func newNameSet(c *checker, r record) *nameSet {
	return &nameSet{checker: c, record: r, seen: map[string]string{}}
}

func (s *nameSet) check(i int, name string) {
	at := place{s.record, i, colName}
	if !namePattern.MatchString(name) {
		s.checker.add(at, "%q: %s", name, nameRule)
		return
	}
	key := strings.ToLower(name)
	if earlier, taken := s.seen[key]; taken {
		s.checker.add(at, "%s %q is declared already, as %q", s.record, name, earlier)
		return
	}
	s.seen[key] = name
}

// subject names the record and column at a place.
func (p *DayPlan) subject(at place) string {
	text := string(at.record)
	if name := p.recordName(at); name != "" {
		text += " " + name
	}
	if at.column != "" {
		text += ", " + string(at.column)
	}
	return text
}

func (p *DayPlan) recordName(at place) string {
	if at.index < 0 {
		return ""
	}
	switch at.record {
	case recordZone:
		return p.Zones[at.index].Name
	case recordService:
		return p.Services[at.index].Name
	case recordJob:
		return p.Jobs[at.index].Name
	case recordTeam:
		return p.Teams[at.index].Name
	}
	return ""
}
