package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// heldTime is for how long a test watches that nothing passes a cut.
const heldTime = 100 * time.Millisecond

// Guards against a cut that loses or lets pass a call: it is held back, also across a
// restart of the worker, and carried out by the incarnation that is there when the cut ends.
func TestACallThatACutHoldsIsCarriedOutAfterIt(t *testing.T) {
	w := standIn(t, history())
	w.link.shut()
	answered := make(chan error, 1)
	go func() {
		body := fmt.Sprintf(`{"task":%q,"run_id":1,"spec":%q,"deadline_ms":900000,"fencing_token":7}`, task(0, 0), testSpec)
		response, err := http.Post("http://"+w.address+"/v1/run-start", "application/json", strings.NewReader(body))
		if err == nil {
			response.Body.Close()
		}
		answered <- err
	}()
	time.Sleep(heldTime)
	w.restart(0, false)
	runs := func() (n int) {
		w.set(func() { n = len(w.runs) })
		return n
	}
	if n := runs(); n != 0 {
		t.Errorf("%d runs during the cut", n)
	}
	select {
	case err := <-answered:
		t.Errorf("the call ended during the cut: %v", err)
	case <-time.After(heldTime):
	}
	w.link.open()
	for limit := time.Now().Add(5 * time.Second); runs() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the call was not carried out after the cut")
		}
	}
}

// Guards against a cut of one agent that lets its reports pass, or that silences others.
func TestACutOfAnAgentHoldsItsConnectionsAlone(t *testing.T) {
	listener, err := listenAnywhere()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	lines := make(chan string, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for reader := bufio.NewScanner(connection); reader.Scan(); {
					lines <- reader.Text()
				}
			}()
		}
	}()
	p, err := newProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	p.setCut("agent-1", true)
	for _, name := range []string{"agent-1", "agent-10"} {
		connection, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		fmt.Fprintln(connection, name)
	}
	if got := <-lines; got != "agent-10" {
		t.Errorf("%s passes the cut of agent-1", got)
	}
	select {
	case got := <-lines:
		t.Errorf("%s passes the cut of agent-1", got)
	case <-time.After(heldTime):
	}
	p.setCut("agent-1", false)
	if got := <-lines; got != "agent-1" {
		t.Errorf("after the cut %s arrives", got)
	}
}
