// Command paddle-dev carries out one day plan on a whole fleet in one process:
// three control replicas, two entries, and agents with stand-in workers and
// backend servers, over loopback TCP and a temporary data folder. It takes an
// availability zone out and in again while callers' requests and batch work
// run, and exits with 0 only if nothing was lost, doubled or forbidden.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/plan"
)

var verbose = new(bool)

func main() {
	sheet := "examples/ballinure.csv"
	keep := false
	flaggy.SetName("paddle-dev")
	flaggy.SetDescription("carries out a day plan on a whole fleet in one process")
	flaggy.String(&sheet, "s", "sheet", "the day plan, a CSV export")
	flaggy.Bool(&keep, "k", "keep", "leave the fleet running until interrupted, and print its addresses")
	flaggy.Bool(verbose, "V", "verbose", "print the log and each refused request")
	flaggy.Parse()
	if !*verbose {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(run(sheet, keep))
}

func run(sheet string, keep bool) int {
	day, code := readSheet(sheet)
	if day == nil {
		return code
	}
	dataDir, err := os.MkdirTemp("", "paddle-dev-")
	if err != nil {
		return fail(err)
	}
	f, err := startFleet(dataDir, day)
	if err != nil {
		_ = f.stop() // the error of the start says more
		return fail(err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result, err := runDay(f, day)
	if err == nil && keep {
		printAddresses(f, day)
		<-interrupted
	}
	stopErr := f.stop()
	if err != nil {
		return fail(err)
	}
	if stopErr != nil {
		return fail(stopErr)
	}
	return conclude(result)
}

func readSheet(path string) (*plan.DayPlan, int) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fail(fault.Wrap(fault.InvalidArgument, err, "sheet"))
	}
	defer file.Close()
	day, faults := plan.ReadSheet(path, file)
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, faults.Error())
		return nil, fault.ExitInvalid
	}
	return day, fault.ExitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "paddle-dev:", err)
	return fault.KindOf(err).Answer().Exit
}

// printAddresses prints commands that can be typed as they stand.
func printAddresses(f *fleet, day *plan.DayPlan) {
	fmt.Println("\nThe fleet keeps running. Interrupt to stop it.")
	fmt.Printf("  go run ./cmd/paddlectl --address %s status\n", joined(f.operatorAddresses()))
	for _, url := range f.entryURLs() {
		for _, service := range day.Services {
			fmt.Printf("  curl -i %s/%s/check\n", url, service.Name)
		}
	}
}

func conclude(r *result) int {
	r.print(os.Stdout)
	problems := r.problems()
	if len(problems) == 0 {
		fmt.Println("nothing was lost, doubled or forbidden")
		return fault.ExitOK
	}
	fmt.Printf("%d problems:\n", len(problems))
	for _, problem := range problems {
		fmt.Println(" ", problem)
	}
	return fault.ExitFailure
}
