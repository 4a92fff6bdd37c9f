package entry

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// faultProxy forwards TCP connections to one address. Connections can be cut,
// or go silent for good while new ones work.
type faultProxy struct {
	target   string
	listener net.Listener
	shape    *shapedLink // nil for none

	mu    sync.Mutex
	pairs map[*proxyPair]bool
}

type proxyPair struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

func newFaultProxy(t testing.TB, target string, shape *shapedLink) *faultProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{target: target, listener: listener, shape: shape, pairs: make(map[*proxyPair]bool)}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.cut()
	})
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		pair := &proxyPair{client: client, server: server, silent: make(chan struct{})}
		p.mu.Lock()
		p.pairs[pair] = true
		p.mu.Unlock()
		go p.pipe(pair, server, client, true)
		go p.pipe(pair, client, server, false)
	}
}

// pipe copies one direction. A silent pair discards what it reads.
func (p *faultProxy) pipe(pair *proxyPair, to, from net.Conn, outward bool) {
	defer p.close(pair)
	write := func(b []byte) error {
		select {
		case <-pair.silent:
			return nil
		default:
			_, err := to.Write(b)
			return err
		}
	}
	if p.shape != nil {
		p.shape.copy(write, from, outward)
		return
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && write(buffer[:n]) != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *faultProxy) close(pair *proxyPair) {
	_ = pair.client.Close()
	_ = pair.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

func (p *faultProxy) snapshot() []*proxyPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var pairs []*proxyPair
	for pair := range p.pairs {
		pairs = append(pairs, pair)
	}
	return pairs
}

// cut closes all open connections.
func (p *faultProxy) cut() {
	for _, pair := range p.snapshot() {
		p.close(pair)
	}
}

// silence makes the i-th, or with -1 each, open connection silent for good.
func (p *faultProxy) silence(i int) {
	for j, pair := range p.snapshot() {
		if i < 0 || i == j {
			pair.once.Do(func() { close(pair.silent) })
		}
	}
}

// shapedLink is a link of limited rate and a delay that all its connections share.
type shapedLink struct {
	rate  int64         // bytes/s each way
	delay time.Duration // one way

	mu     sync.Mutex
	freeAt [2]time.Time // when each direction is idle again
	bytes  [2]int64
}

// packetSize is how many bytes of one connection go over the link at a time, and
// maxQueueDelay how long the link's queue in front of it may get for one connection.
const (
	packetSize    = 1448
	maxQueueDelay = 2 * time.Millisecond
)

type inFlight struct {
	at   time.Time
	data []byte
}

// copy reads from a connection at the link's rate and writes delay later.
func (l *shapedLink) copy(write func([]byte) error, from io.Reader, outward bool) {
	queue := make(chan inFlight, 4096)
	go func() {
		defer close(queue)
		buffer := make([]byte, packetSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				departs := l.schedule(n, outward)
				time.Sleep(time.Until(departs) - maxQueueDelay)
				queue <- inFlight{departs.Add(l.delay), append([]byte(nil), buffer[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for f := range queue {
		time.Sleep(time.Until(f.at))
		failed = failed || write(f.data) != nil
	}
}

// schedule reserves n bytes on the link and returns when the last one is sent.
func (l *shapedLink) schedule(n int, outward bool) time.Time {
	direction := 0
	if outward {
		direction = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	start := time.Now()
	if l.freeAt[direction].After(start) {
		start = l.freeAt[direction]
	}
	l.bytes[direction] += int64(n)
	l.freeAt[direction] = start.Add(time.Duration(int64(n) * int64(time.Second) / l.rate))
	return l.freeAt[direction]
}

// transferred returns the bytes that went inward and outward.
func (l *shapedLink) transferred() (inward, outward int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[0], l.bytes[1]
}
