package entry_test

import (
	"fmt"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func (s *script) fault(d *datadriven.TestData) {
	f := endpt.Faults{}
	yes, no := true, false
	for _, a := range d.CmdArgs[1:] {
		value := a.Vals[0]
		flag := &no
		if value == "true" {
			flag = &yes
		}
		var count int64
		_, _ = fmt.Sscan(value, &count)
		span := new(envdoc.Duration)
		_ = span.UnmarshalText([]byte(value))
		switch a.Key {
		case "Frozen":
			f.Frozen = flag
		case "CutGroup":
			f.CutGroup = flag
		case "CutCallers":
			f.CutCallers = flag
		case "LoseAnswers":
			f.LoseAnswers = &count
		case "CutAnswers":
			f.CutAnswers = &count
		case "Slow":
			f.Slow = span
		case "ReplicationLag":
			f.ReplicationLag = span
		case "ApplyLag":
			f.ApplyLag = span
		default:
			s.t.Fatalf("%s: unknown fault %s", d.Pos, a.Key)
		}
	}
	s.set.endpoints[ident.Endpoint(d.CmdArgs[0].Key)].SetFaults(f)
}

func (s *script) platform(d *datadriven.TestData) {
	f := plat.Faults{}
	for _, a := range d.CmdArgs {
		if a.Key == "Outage" {
			f.Outage = plat.Outage(a.Vals[0])
		}
	}
	s.set.platform.SetFaults(f)
}
