package main

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/timing"
)

const (
	dayLimit      = 50 * time.Second // of the whole run
	upLimit       = 20 * time.Second // for the services to be up
	beforeOut     = 3 * time.Second
	outFor        = 8 * time.Second
	afterIn       = 3 * time.Second
	zoneOutBound  = 3 * time.Second // no task starts in a zone later than this after it went out
	callTimeout   = 5 * time.Second
	statusPoll    = 250 * time.Millisecond
	jobsDonePoll  = 500 * time.Millisecond
	finishedState = "finished"
)

// runDay submits the plan, sends callers' requests, takes a zone out and in,
// and waits until the batch work is done.
func runDay(f *fleet, day *plan.DayPlan) (*result, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), dayLimit)
	defer cancel()
	client := operatorclient.New(f.operatorAddresses(), f.security, "")
	defer client.Close()
	if err := awaitVMs(ctx, client, len(f.vms)); err != nil {
		return nil, err
	}
	if err := submit(ctx, client, day); err != nil {
		return nil, err
	}
	if err := awaitServices(ctx, client, day); err != nil {
		return nil, err
	}
	r := &result{plan: day, ledger: f.ledger, callers: map[string]*callerStats{}}
	stopCallers := startCallers(ctx, f, day, r)
	err := takeZoneOutAndIn(ctx, client, f, r)
	if err == nil {
		r.late = awaitJobs(ctx, client)
	}
	stopCallers()
	r.elapsed = time.Since(began)
	return r, err
}

// awaitVMs waits until every agent has announced its VM.
func awaitVMs(ctx context.Context, client *operatorclient.Client, count int) error {
	ctx, cancel := context.WithTimeout(ctx, upLimit)
	defer cancel()
	for {
		var status operatorapi.Status
		err := client.Get(ctx, operatorapi.PathStatus, &status)
		if err == nil && len(status.VMs) == count {
			return nil
		}
		timing.Sleep(ctx, statusPoll)
		if ctx.Err() != nil {
			return fault.Newf(fault.NoQuorum, "%d of %d VMs announced within %v (last error %v)", len(status.VMs), count, upLimit, err)
		}
	}
}

func submit(ctx context.Context, client *operatorclient.Client, day *plan.DayPlan) error {
	body, err := day.Encode()
	if err != nil {
		return err
	}
	var accepted operatorapi.PlanResult
	if err := client.Post(ctx, operatorapi.PathPlan, operatorclient.PlanChangeID(day), body, &accepted); err != nil {
		return err
	}
	fmt.Printf("plan %d accepted as revision %d\n", accepted.Number, accepted.Revision)
	for _, warning := range accepted.Warnings {
		fmt.Println("  warning:", warning)
	}
	return nil
}

// awaitServices waits until every service has all its backend servers.
func awaitServices(ctx context.Context, client *operatorclient.Client, day *plan.DayPlan) error {
	ctx, cancel := context.WithTimeout(ctx, upLimit)
	defer cancel()
	began := time.Now()
	for {
		var status operatorapi.Status
		err := client.Get(ctx, operatorapi.PathStatus, &status)
		if err == nil && servicesUp(&status, day) {
			fmt.Printf("services up after %v\n", time.Since(began).Round(10*time.Millisecond))
			return nil
		}
		timing.Sleep(ctx, statusPoll)
		if ctx.Err() != nil {
			return fault.Newf(fault.Internal, "services not up within %v: %+v (last error %v)", upLimit, status.Services, err)
		}
	}
}

func servicesUp(status *operatorapi.Status, day *plan.DayPlan) bool {
	up := 0
	for _, service := range status.Services {
		if service.BackendServers >= service.Instances {
			up++
		}
	}
	return up == len(day.Services)
}

// startCallers starts every service's callers and returns the function that
// stops them and waits for their last requests.
func startCallers(ctx context.Context, f *fleet, day *plan.DayPlan, r *result) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, service := range day.Services {
		stats := newCallerStats()
		r.callers[service.Name] = stats
		wait.Add(1)
		go func() {
			defer wait.Done()
			callers(ctx, service.Name, f.entryURLs(), stats)
		}()
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

func takeZoneOutAndIn(ctx context.Context, client *operatorclient.Client, f *fleet, r *result) error {
	zone := f.vms[0].zone
	timing.Sleep(ctx, beforeOut)
	if err := changeZone(ctx, client, zone, "out"); err != nil {
		return err
	}
	o := outage{zone: zone, out: time.Now()}
	timing.Sleep(ctx, outFor)
	o.in = time.Now()
	r.outages = append(r.outages, o)
	if err := changeZone(ctx, client, zone, "in"); err != nil {
		return err
	}
	timing.Sleep(ctx, afterIn)
	return nil
}

func changeZone(ctx context.Context, client *operatorclient.Client, zone, direction string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var changed operatorapi.ChangeResult
	path := operatorapi.PathZones + url.PathEscape(zone) + "/" + direction
	if err := client.Post(ctx, path, operatorclient.NewChangeID("zone-"+direction), nil, &changed); err != nil {
		return err
	}
	fmt.Printf("zone %s %s as revision %d\n", zone, direction, changed.Revision)
	return nil
}

// awaitJobs waits until all jobs are finished and returns those that are not.
func awaitJobs(ctx context.Context, client *operatorclient.Client) []string {
	for {
		var status operatorapi.Status
		err := client.Get(ctx, operatorapi.PathStatus, &status)
		late := unfinished(&status)
		if err == nil && len(late) == 0 {
			return nil
		}
		timing.Sleep(ctx, jobsDonePoll)
		if ctx.Err() != nil {
			return append(late, "the day's time is over")
		}
	}
}

func unfinished(status *operatorapi.Status) []string {
	var late []string
	for _, job := range status.Jobs {
		if job.State != finishedState {
			late = append(late, fmt.Sprintf("job %s is %s: %d pending, %d running, %d finished (%s)",
				job.Name, job.State, job.Pending, job.Running, job.Finished, job.Reason))
		}
	}
	return late
}

func joined(list []string) string { return strings.Join(list, ",") }
