package integration

import (
	"net"
	"strings"
	"testing"
	"time"

	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/transport"
)

// silentProxy passes bytes between an entry and a control replica until it goes
// silent: connections stay open and nothing passes any more.
type silentProxy struct {
	listener net.Listener
	silent   chan struct{}
}

func startProxy(t *testing.T, target string) *silentProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: listener, silent: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				from.Close()
				continue
			}
			t.Cleanup(func() { from.Close(); to.Close() })
			go p.pass(from, to)
			go p.pass(to, from)
		}
	}()
	return p
}

func (p *silentProxy) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// TestDrainedVMTakesNoRequestFromACutOffEntry drains the only VM, whose backend
// servers can move nowhere, while the entry is cut off from the control group
// and goes on sending by an old directory.
func TestDrainedVMTakesNoRequestFromACutOffEntry(t *testing.T) {
	s := &requestScenario{scenario: &scenario{system: startSystem(t, zoneNames[:1], 1)}}
	var proxies []*silentProxy
	var addresses []string
	for _, address := range strings.Split(s.addresses, ",") {
		proxy := startProxy(t, address)
		proxies = append(proxies, proxy)
		addresses = append(addresses, proxy.listener.Addr().String())
	}
	s.addresses = strings.Join(addresses, ",")
	s.startEntries(1, zoneNames)
	s.client = operatorclient.New(s.operators, &transport.Security{}, "")
	defer s.client.Close()
	day := testPlan()
	day.Zones = day.Zones[:1]
	day.Jobs = []plan.Job{}
	day.Services[0].Instances = s.instances()
	s.submit(day)
	s.awaitServing()
	s.callers = startCallers(s.callersAt, requestSeed)
	time.Sleep(betweenFaults)
	for _, proxy := range proxies {
		close(proxy.silent)
	}
	s.drain(s.machines[0], nil)
	h := newRequestHistory(s.readRequestEvents(), s.callers.stop())
	h.checkDrained(t, s.closures)
	h.checkAtMostOnce(t)
	h.checkNotRun(t)
	h.logFigures(t)
}
