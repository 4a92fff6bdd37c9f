// Command paddlectl is the operators' tool: it checks and submits day plans,
// takes availability zones out and in, drains VMs and shows the state.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"amaranthpaddle/fault"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	line := newCommandLine()
	if err := line.parser.ParseArgs(args); err != nil {
		return report(stderr, &line.options, fault.Wrap(fault.InvalidArgument, err, "command line"))
	}
	command := line.selected()
	if command == nil {
		line.parser.ShowHelp()
		return fault.ExitInvalid
	}
	session, err := newSession(&line.options, stdout)
	if err != nil {
		return report(stderr, &line.options, err)
	}
	defer session.close()
	ctx, cancel := context.WithTimeout(ctx, line.options.timeout)
	defer cancel()
	return report(stderr, &line.options, command(ctx, session))
}
