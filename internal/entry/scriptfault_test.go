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
		enabled := &no
		if value == "true" {
			enabled = &yes
		}
		var count int64
		_, _ = fmt.Sscan(value, &count)
		duration := new(envdoc.Duration)
		_ = duration.UnmarshalText([]byte(value))
		switch a.Key {
		case "Frozen":
			f.Frozen = enabled
		case "CutGroup":
			f.CutGroup = enabled
		case "CutCallers":
			f.CutCallers = enabled
		case "LoseAnswers":
			f.LoseAnswers = &count
		case "CutAnswers":
			f.CutAnswers = &count
		case "Slow":
			f.Slow = duration
		case "ReplicationLag":
			f.ReplicationLag = duration
		case "ApplyLag":
			f.ApplyLag = duration
		default:
			s.t.Fatalf("%s: unknown fault %s", d.Pos, a.Key)
		}
	}
	s.cluster.endpoints[ident.Endpoint(d.CmdArgs[0].Key)].SetFaults(f)
}

func (s *script) platform(d *datadriven.TestData) {
	f := plat.Faults{}
	for _, a := range d.CmdArgs {
		if a.Key == "Outage" {
			f.Outage = plat.Outage(a.Vals[0])
		}
	}
	s.cluster.platform.SetFaults(f)
}
