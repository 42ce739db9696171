package lines

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// TestJudge reads one statement a line and prints its verdict. Times are in
// milliseconds after SIGTERM.
func TestJudge(t *testing.T) {
	zero := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/judge", func(t *testing.T, d *datadriven.TestData) string {
		h := newHistory()
		h.Stops = []Event{{Front: "a", At: zero}}
		c := Closed{Request: "1", Front: "a", Ending: emul.Orderly}
		for _, arg := range d.CmdArgs {
			applyArg(t, h, &c, zero, arg)
		}
		return h.Describe(c) + "\n"
	})
}

func newHistory() *History {
	return &History{Received: make(map[string]bool), Runs: make(map[string][]emul.Run), RouteTimeout: emul.DefaultRouteTimeout}
}

// applyArg sets one property of a statement or of its history.
func applyArg(t *testing.T, h *History, c *Closed, zero time.Time, arg datadriven.CmdArg) {
	at := func(i int) time.Time {
		n, err := strconv.Atoi(arg.Vals[i])
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return zero.Add(time.Duration(n) * time.Millisecond)
	}
	switch arg.Key {
	case "sent":
		c.Sent = at(0)
	case "ended":
		c.Ended = at(0)
	case "reset":
		c.Ending = emul.Reset
	case "gave-up":
		c.Ending = emul.GaveUp
	case "partial":
		c.Partial = true
	case "front":
		c.Front = arg.Vals[0]
	case "received":
		h.Received[c.Request] = true
	case "ran":
		h.Received[c.Request] = true
		h.Runs[c.Request] = []emul.Run{{Began: at(0), Ended: at(1)}}
	case "killed":
		h.Kills = []Event{{Front: arg.Vals[0], At: at(1)}}
	case "stalled":
		h.Stalls = append(h.Stalls, Stall{At: at(0), Late: at(1).Sub(at(0))})
	case "route-timeout":
		h.RouteTimeout = at(0).Sub(zero)
	default:
		t.Fatalf("unknown property %s", arg.Key)
	}
}

// fakeFront accepts logins and then does with each statement what its script
// says.
type fakeFront struct {
	listener net.Listener
	script   func(conn net.Conn, in *bufio.Reader)
}

func (f *fakeFront) serve(context.Context) error {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return nil // closed by the test
		}
		in := bufio.NewReader(conn)
		_, _ = in.ReadString('\n')
		_, _ = conn.Write([]byte("READY I -\r\n"))
		f.script(conn, in)
		_ = conn.Close()
	}
}

// fronts are what fake fronts do after a login, by name.
var fronts = map[string]func(conn net.Conn, in *bufio.Reader){
	"read-then-close": func(_ net.Conn, in *bufio.Reader) {
		_, _ = in.ReadString('\n')
		time.Sleep(lossSlack + 100*time.Millisecond)
	},
	"read-then-close-at-once": func(_ net.Conn, in *bufio.Reader) { _, _ = in.ReadString('\n') },
	"close-unread":            func(net.Conn, *bufio.Reader) { time.Sleep(lossSlack + 100*time.Millisecond) },
	"partial-answer": func(conn net.Conn, in *bufio.Reader) {
		_, _ = in.ReadString('\n')
		_, _ = conn.Write([]byte("ROW 1\r\nDO"))
	},
	"silent": func(_ net.Conn, in *bufio.Reader) {
		_, _ = in.ReadString('\n')
		_, _ = in.ReadString('\n')
	},
	"answer": func(conn net.Conn, in *bufio.Reader) {
		_, _ = in.ReadString('\n')
		_, _ = conn.Write([]byte("ROW 1\r\nDONE -\r\nREADY I -\r\n"))
	},
}

// TestChecksFindCutStatements sends one statement to a fake front that is being
// stopped, over a real connection, and prints how it is judged.
func TestChecksFindCutStatements(t *testing.T) {
	datadriven.RunTest(t, "testdata/fronts", func(t *testing.T, d *datadriven.TestData) string {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", host+":0")
		g.Expect(err).NotTo(HaveOccurred())
		group := tasks.New(t.Context())
		group.Go((&fakeFront{listener: listener, script: fronts[d.Cmd]}).serve)
		defer func() {
			_ = listener.Close()
			g.Expect(group.Close()).To(Succeed())
		}()
		return judgeOne(t.Context(), listener.Addr().String(), d.HasArg("at-server"))
	})
}

// judgeOne sends a statement to a front and returns the report on its stop.
func judgeOne(ctx context.Context, front string, atServer bool) string {
	l := &load{config: LoadConfig{
		Dial: (&net.Dialer{}).DialContext, Fronts: []string{front}, Routes: []Route{{Name: "own1"}}, Journal: audit.NewJournal(), Keys: []string{"key1"}, Timeout: 500 * time.Millisecond,
	}}
	l.report.NotRun, l.report.Latency = map[string]int{}, newLatency()
	c := l.newCaller(0, 0)
	defer c.close()
	h := newHistory()
	h.Stops = []Event{{Front: front, At: time.Now()}}
	c.query(ctx, "READ x")
	if atServer {
		h.Received[c.request] = true
	}
	r := &StopReport{Verdicts: make(map[Verdict]int)}
	r.judge(h, l.report.Closed)
	if len(r.Verdicts) == 0 {
		return "answered\n"
	}
	var b strings.Builder
	for v := range r.Verdicts {
		fmt.Fprintf(&b, "%s, %s, partial=%t, violations %d\n", v, l.report.Closed[0].Ending, l.report.Closed[0].Partial, r.Violations())
	}
	return b.String()
}
