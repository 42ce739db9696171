package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// evacuation runs the commands of scripts with evacuations, transactions and
// cold endpoints.
func (s *script) evacuation(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "directory":
		return s.directory(t, d)
	case "limits":
		return s.update(scriptLimits(t, d))
	case "nonowner":
		return s.update(Ownership{})
	case "suspend":
		return s.update(IdleInTx{Conn: s.conn(t, d)})
	case "resume":
		return s.update(Resumed{Conn: s.conn(t, d)})
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// directory replaces the endpoints: directory a=(west,evacuated) b=(cold:5s).
// An endpoint without a data centre is in one of its own name.
func (s *script) directory(t *testing.T, d *datadriven.TestData) string {
	m := Directory{}
	for _, a := range d.CmdArgs {
		e := Endpoint{ID: ident.Endpoint(a.Key), DataCentre: ident.DataCentre(a.Key), Slots: 2}
		for _, v := range a.Vals {
			var cold string
			switch n, _ := fmt.Sscanf(v, "cold:%s", &cold); {
			case n == 1:
				e.ColdLeft = parseSpan(t, cold)
			case v == "draining":
				e.Draining = true
			case v == "primary":
				e.IsPrimary = true
			case v == "evacuated":
				e.Evacuated = true
			case v == "restarted":
				e.StartedAt = 1
			default:
				e.DataCentre = ident.DataCentre(v)
			}
		}
		m.Endpoints = append(m.Endpoints, e)
	}
	return s.update(m)
}

func scriptLimits(t *testing.T, d *datadriven.TestData) Limits {
	m := Limits{MaxConns: 16}
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "evacuation":
			m.EvacuationTime = parseSpan(t, a.Vals[0])
		case "cold":
			d.ScanArgs(t, "cold", &m.ColdRate)
		case "coldtime":
			m.ColdTime = parseSpan(t, a.Vals[0])
		}
	}
	return m
}

// conn returns the connection that was granted to a call.
func (s *script) conn(t *testing.T, d *datadriven.TestData) ConnID {
	var n WaiterID
	if _, err := fmt.Sscan(d.CmdArgs[0].Key, &n); err != nil {
		t.Fatal(err)
	}
	return s.grants[n].Conn
}

// callOf returns the call that a connection was granted to last.
func (s *script) callOf(id ConnID) WaiterID {
	var last WaiterID
	for n, g := range s.grants {
		if g.Conn == id {
			last = max(last, n)
		}
	}
	return last
}

func parseSpan(t *testing.T, text string) time.Duration {
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}
