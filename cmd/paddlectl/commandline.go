package main

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// defaultTimeout bounds a whole command, all its attempts included.
const defaultTimeout = 15 * time.Second

// Environment variables that stand in for options which are not given.
const (
	envAddress   = "PADDLE_ADDRESS"
	envTokenFile = "PADDLE_TOKEN_FILE"
)

const examples = `
Examples:
  paddlectl plan check monday.csv
  paddlectl --address 10.0.0.1:7070 --address 10.0.0.2:7070 --token-file token plan diff monday.csv
  paddlectl --address 10.0.0.1:7070 --token-file token plan submit monday.csv
  paddlectl --address 10.0.0.1:7070 --token-file token zone out Cork
  paddlectl --address 10.0.0.1:7070 --token-file token --output json report burn
  paddlectl --address 10.0.0.1:9465 job where 00000000000000aa

PADDLE_ADDRESS (several separated by commas) and PADDLE_TOKEN_FILE stand in for
--address and --token-file.

Exit codes: 0 done; 1 failed; 2 refused, nothing changed; 3 lost against another
change; 4 nothing changed, try again; 5 unknown, resend with the same change id.`

// options are the values of the command line.
type options struct {
	addresses   []string
	tokenFile   string
	certificate string
	key         string
	ca          string
	insecure    bool
	output      string
	timeout     time.Duration
	changeID    string

	file       string
	name       string
	job        string
	host       string
	path       string
	zone       string
	remove     uint64
	add        uint64
	newAddress string
}

// commandFunc carries out one command.
type commandFunc func(ctx context.Context, s *session) error

// commandLine is the parser with its commands and options.
type commandLine struct {
	parser   *flaggy.Parser
	options  options
	commands map[*flaggy.Subcommand]commandFunc
}

func newCommandLine() *commandLine {
	line := &commandLine{
		parser:   flaggy.NewParser("paddlectl"),
		commands: map[*flaggy.Subcommand]commandFunc{},
	}
	line.parser.Description = "checks and submits day plans, takes zones and VMs out and in, shows the state"
	line.parser.AdditionalHelpAppend = examples
	line.parser.ShowVersionWithVersionFlag = false
	line.addGlobalOptions()
	line.addPlanCommands()
	line.addFleetCommands()
	line.addReportCommands()
	line.addControlCommands()
	return line
}

func (l *commandLine) addGlobalOptions() {
	o := &l.options
	o.timeout = defaultTimeout
	o.output = outputTable
	p := l.parser
	p.StringSlice(&o.addresses, "a", "address", "ip:port of a control replica's operator listener; repeat it, or separate by commas")
	p.String(&o.tokenFile, "t", "token-file", "file that holds the operator's token")
	p.String(&o.certificate, "", "certificate", "PEM file of the operator's certificate, with --key and --ca")
	p.String(&o.key, "", "key", "PEM file of the certificate's private key")
	p.String(&o.ca, "", "ca", "PEM file of the certificate authorities; turns TLS on, alone with --token-file")
	p.Bool(&o.insecure, "", "insecure", "allow plaintext to addresses other than loopback")
	p.String(&o.output, "o", "output", "table or json")
	p.Duration(&o.timeout, "", "timeout", "of the whole command, such as 30s")
	p.String(&o.changeID, "", "change-id", "id of the change, to resend one whose outcome is unknown")
}

// add attaches a command below parent and returns it.
func (l *commandLine) add(parent attacher, name, description, example string, command commandFunc) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if example != "" {
		sub.AdditionalHelpAppend = "\nExample:\n  paddlectl " + example
	}
	parent.AttachSubcommand(sub, 1)
	if command != nil {
		l.commands[sub] = command
	}
	return sub
}

// attacher is the parser or a command that has commands of its own.
type attacher interface {
	AttachSubcommand(*flaggy.Subcommand, int)
}

func (l *commandLine) addPlanCommands() {
	o := &l.options
	parent := l.add(l.parser, "plan", "checks, compares, submits or shows the day plan", "plan check monday.csv", nil)
	check := l.add(parent, "check", "checks a sheet; with --address, also against the VMs of the fleet", "plan check monday.csv", planCheck)
	check.AddPositionalValue(&o.file, "sheet", 1, true, "CSV file")
	diff := l.add(parent, "diff", "shows what a sheet would change in the plan in force", "plan diff monday.csv", planDiff)
	diff.AddPositionalValue(&o.file, "sheet", 1, true, "CSV file")
	submit := l.add(parent, "submit", "submits a sheet; sending the same sheet again is safe", "plan submit monday.csv", planSubmit)
	submit.AddPositionalValue(&o.file, "sheet", 1, true, "CSV file")
	l.add(parent, "show", "shows the plan in force", "plan show --output json", planShow)
}

func (l *commandLine) addFleetCommands() {
	o := &l.options
	zone := l.add(l.parser, "zone", "takes an availability zone out of service or back in", "zone out Cork", nil)
	out := l.add(zone, "out", "takes a zone out: no task starts there within a few seconds", "zone out Cork", zoneOut)
	out.AddPositionalValue(&o.name, "zone", 1, true, "availability zone")
	in := l.add(zone, "in", "takes a zone back in", "zone in Cork", zoneIn)
	in.AddPositionalValue(&o.name, "zone", 1, true, "availability zone")
	drain := l.add(l.parser, "drain", "moves all work off a VM, without cutting off any", "drain vm-07", drainVM)
	drain.AddPositionalValue(&o.name, "vm", 1, true, "id of the VM")
	undrain := l.add(l.parser, "undrain", "lets a VM take work again", "undrain vm-07", undrainVM)
	undrain.AddPositionalValue(&o.name, "vm", 1, true, "id of the VM")
	job := l.add(l.parser, "job", "cancels a batch job, or tells where a submitted job would run", "job cancel reconcile-cork", nil)
	cancel := l.add(job, "cancel", "cancels a batch job and stops its tasks", "job cancel reconcile-cork", jobCancel)
	cancel.AddPositionalValue(&o.name, "job", 1, true, "name of the job")
	where := l.add(job, "where", "tells where a submitted job's waiting tasks would go now, and why; --address is a metrics listener of paddle-jobcontrol",
		"job where --file job.json --host jobs.example --path /batch/", jobWhere)
	where.AddPositionalValue(&o.name, "job", 1, false, "id of the job, unless --file is given")
	where.String(&o.file, "", "file", "JSON file with the specification of a job that is not sent")
	where.String(&o.host, "", "host", "that this job would be submitted to")
	where.String(&o.path, "", "path", "that this job would be submitted to")
}

func (l *commandLine) addReportCommands() {
	o := &l.options
	l.add(l.parser, "status", "shows zones, VMs, services and jobs", "status", showStatus)
	tasks := l.add(l.parser, "tasks", "lists tasks", "tasks --job reconcile-cork", showTasks)
	tasks.String(&o.job, "", "job", "only tasks of this job")
	tasks.String(&o.zone, "", "zone", "only tasks in this availability zone")
	parent := l.add(l.parser, "report", "reports on service levels", "report burn", nil)
	l.add(parent, "burn", "shows error-budget burn and jobs against their deadlines", "report burn --output json", reportBurn)
}

func (l *commandLine) addControlCommands() {
	o := &l.options
	parent := l.add(l.parser, "control", "shows or replaces control replicas", "control members", nil)
	l.add(parent, "members", "lists the control replicas", "control members", controlMembers)
	replace := l.add(parent, "replace", "replaces a control replica by a new one with an empty disk",
		"control replace --remove 2 --add 4 --new-address 10.0.0.9:7071", controlReplace)
	replace.UInt64(&o.remove, "", "remove", "id of the replica that goes")
	replace.UInt64(&o.add, "", "add", "id of the new replica, never used before")
	replace.String(&o.newAddress, "", "new-address", "ip:port of the new replica's control protocol")
}

// selected returns the command that was given, nil when there is none.
func (l *commandLine) selected() commandFunc {
	return l.commands[l.parser.TrailingSubcommand()]
}

// complete fills in options that were not given from the environment and
// splits lists of addresses.
func (o *options) complete() error {
	if o.tokenFile == "" {
		o.tokenFile = os.Getenv(envTokenFile)
	}
	var err error
	o.addresses, err = splitAddresses(o.addresses)
	if err == nil && len(o.addresses) == 0 {
		o.addresses, err = splitAddresses([]string{os.Getenv(envAddress)})
	}
	return err
}

// splitAddresses splits each of lists at commas and checks the addresses.
func splitAddresses(lists []string) ([]string, error) {
	var addresses []string
	for _, address := range strings.Split(strings.Join(lists, ","), ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fault.Newf(fault.InvalidArgument, "--address %q is not an ip:port such as 10.0.0.1:7070", address)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// security returns the transport security that the options ask for.
func (o *options) security() (*transport.Security, error) {
	switch {
	case o.certificate == "" && o.key == "" && o.ca == "":
		return &transport.Security{Insecure: o.insecure}, nil
	case o.certificate == "" && o.key == "":
		return transport.OpenClient(o.ca)
	}
	return transport.Open(transport.Files{Certificate: o.certificate, Key: o.key, CA: o.ca})
}

func (o *options) check() error {
	if o.output != outputTable && o.output != outputJSON {
		return fault.Newf(fault.InvalidArgument, "--output %q is neither table nor json", o.output)
	}
	if o.timeout <= 0 {
		return fault.Newf(fault.InvalidArgument, "--timeout %v is not positive", o.timeout)
	}
	return nil
}
