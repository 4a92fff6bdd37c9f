package main

import (
	"io"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"amaranthpaddle/fault"
)

// linkState is how a proxy treats the bytes that pass it.
type linkState struct {
	delay   time.Duration // of each piece
	toward  bool          // what callers send passes
	back    bool          // what is answered passes
	refuses bool          // new connections are closed at once
}

var healthyLink = linkState{toward: true, back: true}

// proxy passes connections on to one address.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	state linkState
	open  map[net.Conn]struct{}
	cut   map[string]bool // agents whose connections are silent in both directions
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "proxy")
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener, state: healthyLink, open: map[net.Conn]struct{}{}, cut: map[string]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

func (p *proxy) connect(caller net.Conn) {
	defer caller.Close()
	if p.now().refuses {
		return
	}
	callee, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	defer callee.Close()
	p.track(caller, callee)
	defer p.untrack(caller, callee)
	done := make(chan struct{}, 2)
	var agent atomic.Value
	agent.Store("")
	seen := 0
	look := func(data []byte) {
		if seen < longestIntroduction {
			if name := agentName.Find(data); name != nil {
				agent.Store(string(name))
			}
		}
		seen += len(data)
	}
	go func() {
		p.pass(callee, caller, look, func(s linkState) bool { return s.toward && !p.isCut(agent.Load().(string)) })
		done <- struct{}{}
	}()
	go func() {
		p.pass(caller, callee, func([]byte) {}, func(s linkState) bool { return s.back && !p.isCut(agent.Load().(string)) })
		done <- struct{}{}
	}()
	<-done
}

// agentName is what an agent's first report contains: no address tells its connections from
// those of others.
var agentName = regexp.MustCompile(`agent-[0-9]+`)

// longestIntroduction is the number of bytes among which an agent names itself.
const longestIntroduction = 4 << 10

// setCut cuts an agent off, or brings it in touch again.
func (p *proxy) setCut(agent string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[agent] = cut
}

func (p *proxy) isCut(agent string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[agent]
}

// pass copies bytes, after a look at them; while the direction is silenced they are held back.
func (p *proxy) pass(to, from net.Conn, look func([]byte), open func(linkState) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		look(buffer[:n])
		for state := p.now(); ; state = p.now() {
			if open(state) {
				time.Sleep(state.delay)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

func (p *proxy) now() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

func (p *proxy) track(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range connections {
		p.open[c] = struct{}{}
	}
}

func (p *proxy) untrack(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range connections {
		delete(p.open, c)
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
}
