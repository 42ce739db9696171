package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	testSecret   = "a shared secret"
	eventTimeout = 10 * time.Second
)

func TestMain(m *testing.M) {
	assert.Fatal()
	goleak.VerifyTestMain(m)
}

// inbox collects the received messages.
type inbox struct {
	mu       sync.Mutex
	received []Message
}

func (b *inbox) Receive(_ ident.Process, message Message, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received = append(b.received, message)
}

func (b *inbox) messages() []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Message(nil), b.received...)
}

type node struct {
	*Mesh
	inbox *inbox
	log   *event.Log
}

func startNode(t *testing.T, name ident.Instance, secret string, opts ...Option) *node {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return startOn(t, name, secret, listener, opts...)
}

func startOn(t *testing.T, name ident.Instance, secret string, listener net.Listener, opts ...Option) *node {
	t.Helper()
	g := NewWithT(t)
	var err error
	n := &node{inbox: &inbox{}, log: event.NewLog(name, 64)}
	opts = append([]Option{WithBackoff(5*time.Millisecond, 20*time.Millisecond)}, opts...)
	n.Mesh, err = NewMesh(Hello{Instance: name, Environment: "trial", Start: 1}, listener, secret, n.inbox, n.log, opts...)
	g.Expect(err).NotTo(HaveOccurred())
	n.Start()
	t.Cleanup(func() { g.Expect(n.Close()).To(Succeed()) })
	return n
}

func (n *node) member() store.Member {
	return store.Member{Instance: n.self.Instance, Peer: n.Address(), Start: uint64(n.self.Start)}
}

func connectAll(nodes ...*node) {
	var members []store.Member
	for _, n := range nodes {
		members = append(members, n.member())
	}
	for _, n := range nodes {
		n.SetMembers(members)
	}
}

func (n *node) countRecords(kind event.Kind) int {
	all, _ := n.log.Since(0)
	count := 0
	for _, r := range all {
		if r.Kind == kind {
			count++
		}
	}
	return count
}

func TestMeshCarriesMessages(t *testing.T) {
	g := NewWithT(t)
	a, b, c := startNode(t, "a", testSecret), startNode(t, "b", testSecret), startNode(t, "c", testSecret)
	connectAll(a, b, c)
	g.Eventually(a.Connected, eventTimeout).Should(Equal([]ident.Instance{"b", "c"}))
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"a", "c"}))
	g.Eventually(c.Connected, eventTimeout).Should(Equal([]ident.Instance{"a", "b"}))

	future := event.Stamp{Wall: time.Now().Add(time.Hour).UnixNano()}
	a.Send("b", Head{Version: 4, Stamp: future})
	g.Eventually(b.inbox.messages, eventTimeout).Should(ConsistOf(Head{Version: 4, Stamp: future}))
	g.Expect(b.log.Now(time.Now()).Compare(future)).To(BeNumerically(">", 0))

	text := make([]byte, MaxDocument)
	c.Broadcast(Document{Version: 5, Text: text})
	g.Eventually(a.inbox.messages, eventTimeout).Should(ConsistOf(Document{Version: 5, Text: text}))
	g.Eventually(b.inbox.messages, eventTimeout).Should(HaveLen(2))

	a.Broadcast(Leaving{})
	g.Expect(a.Close()).To(Succeed())
	g.Eventually(b.inbox.messages, eventTimeout).Should(ContainElement(Leaving{}))
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"c"}))
}

func TestMeshRefusesWrongSecret(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", "another secret"), startNode(t, "b", testSecret)
	before := a.stats.refused.Get()
	connectAll(a, b)
	g.Eventually(a.stats.refused.Get, eventTimeout).Should(BeNumerically(">=", before+2))
	g.Expect(a.countRecords(PeerRefused)).To(BeNumerically(">=", 1))
	g.Expect(a.Connected()).To(BeEmpty())
	g.Expect(b.Connected()).To(BeEmpty())
}

func TestMeshRefusesOtherEnvironmentAndWrongDirection(t *testing.T) {
	g := NewWithT(t)
	b := startNode(t, "b", testSecret)
	for _, h := range []Hello{
		{Instance: "a", Environment: "production", Protocol: 1},
		{Instance: "b", Environment: "trial", Protocol: 1},
		{Instance: "c", Environment: "trial", Protocol: 1},
		{Instance: "a", Environment: "trial", Protocol: 0},
	} {
		before := b.stats.refused.Get()
		ctx, c := dialRaw(t, b)
		_, _ = handshakeAsDialer(ctx, c, h, "b", []byte(testSecret))
		g.Eventually(b.stats.refused.Get, eventTimeout).Should(Equal(before+1), "%+v", h)
	}
	g.Expect(b.Connected()).To(BeEmpty())
}

func dialRaw(t *testing.T, n *node) (context.Context, *websocket.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	client := newClient(&options{})
	t.Cleanup(client.CloseIdleConnections)
	c, _, err := websocket.Dial(ctx, "ws://"+n.Address()+path, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // closed by the library
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.CloseNow() })
	return ctx, c
}

// connectBarePeer opens a connection without a Mesh behind it and completes the
// handshake.
func connectBarePeer(t *testing.T, n *node, name ident.Instance, start ident.Incarnation) (context.Context, *websocket.Conn) {
	t.Helper()
	ctx, c := dialRaw(t, n)
	_, err := handshakeAsDialer(ctx, c, Hello{Instance: name, Environment: "trial", Protocol: 1, Start: start}, n.self.Instance, []byte(testSecret))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return ctx, c
}

func TestMeshRefusesReplay(t *testing.T) {
	g := NewWithT(t)
	b := startNode(t, "b", testSecret)
	own := greeting{Hello: Hello{Instance: "a", Environment: "trial", Protocol: 1}, Nonce: newNonce()}
	ctx, first := dialRaw(t, b)
	g.Expect(writeFrame(ctx, first, own)).To(Succeed())
	var r listenerReply
	g.Expect(readFrame(ctx, first, &r)).To(Succeed())
	proof, err := prove([]byte(testSecret), transcript{Role: dialerRole, Dialer: own, Listener: r.Greeting})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writeFrame(ctx, first, dialerProof{Proof: proof})).To(Succeed())
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"a"}))
	g.Expect(first.CloseNow()).To(Succeed())
	g.Eventually(b.Connected, eventTimeout).Should(BeEmpty())

	for _, replayed := range [][]byte{proof, r.Proof} {
		before := b.stats.refused.Get()
		ctx, second := dialRaw(t, b)
		g.Expect(writeFrame(ctx, second, own)).To(Succeed())
		g.Expect(readFrame(ctx, second, &listenerReply{})).To(Succeed())
		g.Expect(writeFrame(ctx, second, dialerProof{Proof: replayed})).To(Succeed())
		g.Eventually(b.stats.refused.Get, eventTimeout).Should(Equal(before + 1))
		g.Expect(b.Connected()).To(BeEmpty())
	}
}

func TestMeshClosesOnlyTheMalformedConnection(t *testing.T) {
	g := NewWithT(t)
	b, z := startNode(t, "b", testSecret), startNode(t, "z", testSecret)
	connectAll(b, z)
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"z"}))
	unknown, err := encoder.Marshal(envelope{Version: 9, Kind: 99, Body: []byte{0xa0}})
	g.Expect(err).NotTo(HaveOccurred())
	good, err := Encode(DocumentRequest{Version: 1})
	g.Expect(err).NotTo(HaveOccurred())

	for _, bad := range [][]byte{{0xff}, make([]byte, MaxFrame+1)} {
		before := len(b.inbox.messages())
		ctx, c := connectBarePeer(t, b, "a", 1)
		g.Expect(c.Write(ctx, websocket.MessageBinary, unknown)).To(Succeed())
		g.Expect(c.Write(ctx, websocket.MessageBinary, good)).To(Succeed())
		g.Eventually(func() int { return len(b.inbox.messages()) }, eventTimeout).Should(Equal(before + 1))
		_ = c.Write(ctx, websocket.MessageBinary, bad)
		_, _, err = c.Read(ctx)
		g.Expect(err).To(HaveOccurred())
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"z"}))
	}
	g.Eventually(func() int { return b.countRecords(PeerLost) }, eventTimeout).Should(Equal(2))
}

func TestMeshNoticesFrozenPeerAndNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	b := startNode(t, "b", testSecret, WithQueue(4))
	connectBarePeer(t, b, "a", 1) // never reads, like a stopped process
	g.Eventually(b.Connected, eventTimeout).Should(Equal([]ident.Instance{"a"}))
	connected := time.Now()
	dropped := b.stats.dropped.Get()
	for range 64 {
		b.Send("a", Document{Version: 1, Text: make([]byte, MaxDocument)})
	}
	g.Expect(b.stats.dropped.Get()).To(BeNumerically(">", dropped))
	g.Eventually(b.Connected, eventTimeout, time.Millisecond).Should(BeEmpty())
	t.Logf("frozen peer noticed after %v", time.Since(connected))
	g.Expect(pingInterval + pingTimeout).To(BeNumerically("<=", time.Second))
}

func TestMeshReconnectsAndReplaces(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", testSecret), startNode(t, "b", testSecret)
	connectAll(a, b)
	g.Eventually(a.Connected, eventTimeout).Should(Equal([]ident.Instance{"b"}))
	_ = (*a.links.Load())["b"].conn.CloseNow()
	g.Eventually(func() int { return a.countRecords(PeerConnected) }, eventTimeout).Should(BeNumerically(">=", 2))

	c := startNode(t, "c", testSecret)
	_, old := connectBarePeer(t, c, "b", 1)
	g.Eventually(c.Connected, eventTimeout).Should(Equal([]ident.Instance{"b"}))
	first := (*c.links.Load())["b"]
	connectBarePeer(t, c, "b", 2)
	current := func() ident.Incarnation {
		l := (*c.links.Load())["b"]
		if l == nil {
			return 0
		}
		return l.peer.Start
	}
	g.Eventually(current, eventTimeout).Should(Equal(ident.Incarnation(2)))
	g.Expect(first.done).To(BeClosed())
	now, ok := c.Process("b")
	g.Expect(ok).To(BeTrue())
	g.Expect(now).To(Equal(ident.Process{Instance: "b", Incarnation: 2}))
	g.Expect(c.Deliver(ident.Process{Instance: "b", Incarnation: 1}, Leaving{})).To(BeFalse(), "the message is for the former process")
	g.Expect(c.Deliver(now, Leaving{})).To(BeTrue())
	_, _, err := old.Read(context.Background())
	g.Expect(err).To(HaveOccurred())
}

func TestMeshLimitsRecordsOfRefusals(t *testing.T) {
	g := NewWithT(t)
	b := startNode(t, "b", testSecret)
	b.lastRefusal.Store(time.Now().Add(time.Hour).UnixNano())
	b.recordRefusal("a", ErrRefused)
	g.Expect(b.countRecords(PeerRefused)).To(BeZero())
	b.lastRefusal.Store(0)
	b.recordRefusal("a", ErrRefused)
	g.Expect(b.countRecords(PeerRefused)).To(Equal(1))
}
