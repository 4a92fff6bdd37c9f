package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

func example(t testing.TB, file string) string {
	t.Helper()
	data, err := os.ReadFile("../examples/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// withDefaults turns the commented optional keys of a sample into keys.
func withDefaults(text string) string { return strings.ReplaceAll(text, "\n;# ", "\n") }

func TestSamplesAreValidWithAndWithoutTheirDefaults(t *testing.T) {
	for _, form := range []func(string) string{
		func(text string) string { return text },
		func(text string) string { return strings.Replace(withDefaults(text), "join = false", "", 1) },
		func(text string) string { return "\ufeff" + strings.ReplaceAll(text, "\n", "\r\n") },
	} {
		entry, err := ParseEntry("entry.ini", []byte(form(example(t, "entry.ini"))))
		if err != nil {
			t.Fatal(err)
		}
		if entry.LinkRate != 1_250_000 || len(entry.Control) != 3 || entry.Callers != "10.1.0.21:8080" || entry.Zone != "Cork" {
			t.Errorf("entry: %+v", entry)
		}
		agent, err := ParseAgent("agent.ini", []byte(form(example(t, "agent.ini"))))
		if err != nil {
			t.Fatal(err)
		}
		if want := (resource.Vector{MilliCPU: 32_000, MemoryMiB: 125 << 10}); agent.Capacity != want || agent.Rack != "limerick-r2" {
			t.Errorf("agent: %+v", agent)
		}
		control, err := ParseControl("control.ini", []byte(form(example(t, "control.ini"))))
		if err != nil {
			t.Fatal(err)
		}
		if control.ID != 1 || control.Members[3] != "10.2.0.11:7071" || control.Peers[2] != "10.1.0.12:7070" {
			t.Errorf("control: %+v", control)
		}
	}
	entry, err := ParseEntry("entry.ini", []byte(withDefaults(example(t, "entry.ini"))))
	if err != nil || entry.QueueTime != 500*time.Millisecond || entry.MaxBodyBytes != 64<<20 {
		t.Errorf("entry with defaults: %+v, %v", entry, err)
	}
}

func TestEveryFaultNamesSectionKeyAndValue(t *testing.T) {
	cases := []struct{ file, old, new, want string }{
		{"entry.ini", "zone = Cork", "zone = Cork city", `[process] zone = "Cork city": a name has`},
		{"entry.ini", "zone = Cork", "zone =", `[process] zone: is empty`},
		{"entry.ini", "zone = Cork", "", `[process] zone: is missing`},
		{"entry.ini", "zone = Cork", "zone = Cork\nzone = Cork", `[process] zone = "Cork and Cork": stands twice`},
		{"entry.ini", "zone = Cork", "zones = Cork", `[process] zones = "Cork": unknown key`},
		{"entry.ini", "zone = Cork", "Zone = Cork", `[process] Zone = "Cork": unknown key`},
		{"entry.ini", "zone = Cork", "zone", "key-value delimiter not found"},
		{"entry.ini", "[link]", "[links]", `[links] rate = "10Mbit/s": unknown key`},
		{"entry.ini", "[link]", "[process]", "section [process] stands twice"},
		{"entry.ini", "[process]", "name = x\n[process]", `[DEFAULT] name = "x": unknown key`},
		{"entry.ini", "10Mbit/s", "10", `[link] rate = "10": is not a rate`},
		{"entry.ini", "10Mbit/s", "10mbit/s", `[link] rate = "10mbit/s": is not a rate`},
		{"entry.ini", "10Mbit/s", "0Mbit/s", "is not a rate"},
		{"entry.ini", "10Mbit/s", "-1Mbit/s", "is not a rate"},
		{"entry.ini", "10Mbit/s", "%(name)s", `[link] rate = "%(name)s": is not a rate`},
		{"entry.ini", ";# queue_time = 500ms", "queue_time = 500", `[limits] queue_time = "500": is not a time with its unit`},
		{"entry.ini", ";# queue_time = 500ms", "queue_time = -1s", `[limits] queue_time = "-1s": is not from 1ms to 1m0s`},
		{"entry.ini", ";# max_body = 64MiB", "max_body = 64MB", `[limits] max_body = "64MB": is not a size`},
		{"entry.ini", ";# max_body = 64MiB", "max_body = 0B", `[limits] max_body = "0B": is not from 1`},
		{"entry.ini", ";# max_requests = 2048", "max_requests = many", `[limits] max_requests = "many": is not a whole number`},
		{"entry.ini", "callers = 10.1.0.21:8080", "callers = localhost:8080", `[listen] callers = "localhost:8080": is not an ip:port`},
		{"entry.ini", "callers = 10.1.0.21:8080", "callers = 10.1.0.21:80800", "is not an ip:port"},
		{"entry.ini", "10.1.0.12:7071", "10.1.0.11:7071", `"10.1.0.11:7071" stands twice`},
		{"entry.ini", "10.1.0.12:7071,", ",", `"" is not an ip:port`},
		{"entry.ini", "ca = /etc/amaranthpaddle/ca.pem", "", "[tls]: certificate, key and ca are given together"},
		{"entry.ini", "[tls]", "[tls]\ninsecure = true", `[tls] insecure = "true": contradicts the certificate`},
		{"entry.ini", "[tls]", "[tls]\ninsecure = yes", `[tls] insecure = "yes": is neither true nor false`},
		{"entry.ini", "zone = Cork", "zone = C\xf3rk", "the file is not UTF-8"},
		{"agent.ini", "cores = 32", "cores = NaN", `[capacity] cores = "NaN": is not a number of cores`},
		{"agent.ini", "cores = 32", "cores = 0", "is not a number of cores"},
		{"agent.ini", "memory = 125GiB", "memory = 125", `[capacity] memory = "125": is not a size`},
		{"agent.ini", "memory = 125GiB", "memory = 100KiB", "is not from 1MiB to 64TiB"},
		{"agent.ini", "local = 127.0.0.1:7073", "local = 10.1.0.47:7073", "must be a loopback address"},
		{"agent.ini", "url = http://127.0.0.1:7100", "url = 127.0.0.1:7100", `[worker] url = "127.0.0.1:7100": is not a base URL`},
		{"agent.ini", "rack = limerick-r2", "", "[process] rack: is missing"},
		{"control.ini", "id = 1\n", "id = 0\n", `[control] id = "0": is not a positive number`},
		{"control.ini", "id = 1\n", "id = 9\n", "[control] members: the first members do not include this replica"},
		{"control.ini", "members = 1=", "members = 2=", "member 2 stands twice"},
		{"control.ini", "members = 1=", "members = one=", `"one=10.1.0.11:7071" is not a member`},
		{"control.ini", "members = 1=", ";", "[control] members: is missing"},
		{"control.ini", ";# join = false", "join = true", "a replica that joins a group has no first members"},
		{"control.ini", ";# election = 300ms", "heartbeat = 200ms\nelection = 300ms", `[consensus] election = "300ms": must be at least twice`},
		{"control.ini", ";# margin = 625ms", "duration = 8s\nmargin = 5s", `[leases] margin = "5s": must be at most half`},
		{"control.ini", "data_folder = /var/lib/amaranthpaddle/control", "", "[control] data_folder: is missing"},
	}
	for _, c := range cases {
		t.Run(c.file+" "+c.new, func(t *testing.T) {
			text := example(t, c.file)
			spoiled := strings.Replace(text, c.old, c.new, 1)
			if spoiled == text {
				t.Fatal("the case changes nothing")
			}
			err := parseAny(c.file, spoiled)
			if !fault.Is(err, fault.InvalidArgument) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// parseAny reads text as the settings of the daemon whose sample is file.
func parseAny(file, text string) error {
	var err error
	switch file {
	case "entry.ini":
		_, err = ParseEntry(file, []byte(text))
	case "agent.ini":
		_, err = ParseAgent(file, []byte(text))
	case "control.ini":
		_, err = ParseControl(file, []byte(text))
	}
	return err
}

func TestAllFaultsAreListed(t *testing.T) {
	err := parseAny("control.ini", "[control]\nid = x\n[log]\nlevel = 99\nbogus = 1\n")
	for _, want := range []string{"[process] name", "[control] id", "[log] level", "[log] bogus", "[control] members", "[operators] token_file"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among\n%v", want, err)
		}
	}
}

func TestOperatorsNeedATokenFileWithoutTLS(t *testing.T) {
	text := strings.Replace(example(t, "control.ini"), "token_file =", ";", 1)
	if err := parseAny("control.ini", text); err != nil {
		t.Errorf("with certificates: %v", err)
	}
	plain := text[:strings.Index(text, "[tls]")] + "[tls]\ninsecure = true\n"
	if err := parseAny("control.ini", plain); err == nil || !strings.Contains(err.Error(), "[operators] token_file: is missing") {
		t.Errorf("without: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, file := range []string{"entry.ini", "agent.ini", "control.ini"} {
		f.Add([]byte(example(f, file)))
		f.Add([]byte(withDefaults(example(f, file))))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := ParseEntry("fuzz", data)
		if (entry == nil) != (err != nil) {
			t.Fatalf("partial accept: %+v, %v", entry, err)
		}
		if entry != nil && (entry.Name == "" || entry.Callers == "" || len(entry.Control) == 0) {
			t.Fatalf("accepted without a required key: %+v", entry)
		}
		agent, err := ParseAgent("fuzz", data)
		if (agent == nil) != (err != nil) {
			t.Fatalf("partial accept: %+v, %v", agent, err)
		}
		if agent != nil && (agent.Capacity.MilliCPU <= 0 || agent.Capacity.MemoryMiB <= 0 || agent.Worker == "") {
			t.Fatalf("accepted without a required key: %+v", agent)
		}
		control, err := ParseControl("fuzz", data)
		if (control == nil) != (err != nil) {
			t.Fatalf("partial accept: %+v, %v", control, err)
		}
		if control != nil && (control.ID == 0 || control.DataFolder == "") {
			t.Fatalf("accepted without a required key: %+v", control)
		}
	})
}
