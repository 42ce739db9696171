// Package sched decides, for one database group, which waiting call runs on
// which endpoint connection and which call is rejected. It does no I/O: the caller
// executes the returned commands and reports their results. Scheduler.Update is
// the only place that changes state; message.go lists its inputs and outputs.
//
// The files by the load that they answer:
//
//   - More calls than slots: order.go and turns.go decide which call runs next,
//     admission.go which one is rejected on arrival, lateshare.go what is left for
//     calls that miss their target, waiter.go how long a call may wait.
//   - Callers that come back: reject.go and retryplan.go give each its own time.
//   - Endpoints that differ: placement.go chooses one, expected.go, roundtrip.go
//     and servicetime.go estimate when it would answer.
//   - Endpoints that fail some calls or all: outcome.go counts, outlier.go ejects
//     them for reads, failing.go reports a primary.
//   - Answers that are lost: overdue.go says which calls still occupy a slot.
//   - Replicas that lag: floor.go says which position a read needs, lagging.go
//     reports a primary that is overloaded for that reason.
//   - No endpoint for a call at present: servable.go says when there will be one.
//   - Evacuated data centres and cold endpoints: evacuation.go, cold.go and
//     coldwait.go.
package sched
