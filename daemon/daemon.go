// Package daemon holds what the mains of the daemons share: the command line,
// the check of settings and the wait for a planned stop.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
)

// Program is one daemon. S is its settings type.
type Program[S any] struct {
	Name        string // such as "paddle-entry"
	Description string
	Load        func(file string) (*S, error)
	Process     func(*S) (name string, logLevel int)
	// Run runs the daemon until ctx ends, which asks for a planned stop.
	Run func(ctx context.Context, settings *S) error
}

// Main runs the program with the process's arguments and signals, and exits.
func (p Program[S]) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := p.run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	klog.Flush()
	os.Exit(code)
}

// run returns the exit code. Logs go to stderr as JSON lines.
func (p Program[S]) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var file string
	var checkOnly bool
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.AdditionalHelpAppend = "\nExample:\n  " + p.Name + " --settings /etc/amaranthpaddle/settings.ini --check-settings"
	parser.ShowVersionWithVersionFlag = false
	parser.String(&file, "s", "settings", "INI file")
	parser.Bool(&checkOnly, "", "check-settings", "check the settings, print every fault and exit")
	if err := parser.ParseArgs(args); err != nil {
		return fail(stderr, fault.Wrap(fault.InvalidArgument, err, "command line"))
	}
	if file == "" {
		return fail(stderr, fault.New(fault.InvalidArgument, "--settings is missing"))
	}
	loaded, err := p.Load(file)
	if err != nil {
		return fail(stderr, err)
	}
	if checkOnly {
		fmt.Fprintf(stdout, "%s: settings are valid\n", file)
		return fault.ExitOK
	}
	return p.runLoaded(ctx, loaded, stderr)
}

func (p Program[S]) runLoaded(ctx context.Context, loaded *S, stderr io.Writer) int {
	name, level := p.Process(loaded)
	if err := telemetry.SetupLogs(stderr, p.Name, name, level); err != nil {
		return fail(stderr, err)
	}
	klog.InfoS("Process starts")
	if err := p.Run(ctx, loaded); err != nil {
		klog.ErrorS(err, "Process failed", "kind", fault.KindOf(err).String())
		return fault.KindOf(err).Answer().Exit
	}
	klog.InfoS("Process stopped")
	return fault.ExitOK
}

func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, err)
	return fault.KindOf(err).Answer().Exit
}
