// Package daemon holds what the mains of the daemons share: the command line,
// the check of settings and the wait for a planned stop.
package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	// Run runs the daemon until ctx ends, which asks for a planned stop. Settings
	// that have changed since, with or without a signal, come by reloads.
	Run func(ctx context.Context, settings *S, reloads <-chan *S) error
}

// flushTimeout bounds the writing of the last log lines.
const flushTimeout = 200 * time.Millisecond

// Main runs the program with the process's arguments and signals, and exits.
func (p Program[S]) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	logs := telemetry.NewWriter(os.Stdout)
	code := p.run(ctx, os.Args[1:], logs, os.Stderr)
	stop()
	klog.Flush()
	logs.Flush(flushTimeout)
	os.Exit(code)
}

// run returns the exit code. Logs go to stdout as JSON lines.
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
	return p.runLoaded(ctx, file, loaded, stdout, stderr)
}

func (p Program[S]) runLoaded(ctx context.Context, file string, loaded *S, stdout, stderr io.Writer) int {
	name, level := p.Process(loaded)
	if err := telemetry.SetupLogs(stdout, p.Name, name, level); err != nil {
		return fail(stderr, err)
	}
	klog.InfoS("Process starts", "settings", file)
	reloads := make(chan *S)
	go p.watch(ctx, file, reloads)
	if err := p.Run(ctx, loaded, reloads); err != nil {
		klog.ErrorS(err, "Process failed", "kind", fault.KindOf(err).String())
		return fault.KindOf(err).Answer().Exit
	}
	klog.InfoS("Process stopped")
	return fault.ExitOK
}

// reloadInterval is the pause between looks at the settings file, which may
// change without a signal. It is well under the seconds within which a change
// of the seeds matters.
const reloadInterval = time.Second

// watch sends the settings whenever the file's content has changed, until ctx
// ends. A file with a fault leaves the settings as they are.
func (p Program[S]) watch(ctx context.Context, file string, reloads chan<- *S) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(file) // it was readable just now; if not, any content is new
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, last) {
			continue // it is being replaced, or is as it was
		}
		last = content
		settings, err := p.Load(file)
		if err != nil {
			klog.ErrorS(err, "Changed settings refused", "settings", file)
			continue
		}
		klog.InfoS("Settings reloaded", "settings", file)
		select {
		case reloads <- settings:
		case <-ctx.Done():
			return
		}
	}
}

func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, err)
	return fault.KindOf(err).Answer().Exit
}
