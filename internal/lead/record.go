package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// This file handles the group's record in the platform's store. It lists the
// servers that may hold acknowledged commits, and outlasts all instances: an
// instance that has just started sees only the servers that are listed at that
// moment, and one of them alone may lack commits.

const (
	// recordPause is the least time between two requests to change the record.
	recordPause = time.Second
	// entryReturnTime is how long the entries of servers that are alive may be
	// missing from the directory after the store was unavailable. The platform
	// states about two seconds.
	entryReturnTime = 3 * time.Second
)

// groupRecord is what the elector knows of the group's record.
type groupRecord struct {
	// servers are those in the record when it was last written, nil if that is not
	// known. found is set once a record was read that a group with a primary had
	// written.
	servers     []ident.Endpoint
	found       bool
	unchecked   bool      // the servers that count may differ from those in the record
	requestedAt time.Time // time of the latest RecordServers
}

// forget makes a server that has left the directory not count any more.
func (el *Elector) forget(id ident.Endpoint) {
	delete(el.servers, id)
	el.forgotten[id] = true
	el.record.unchecked = true
}

// knownServers returns the names of the servers that count, sorted.
func (el *Elector) knownServers() []ident.Endpoint {
	return slices.Sorted(maps.Keys(el.servers))
}

// addRecorded makes the servers of the record count that this instance does not
// know. They have left the directory, or are not listed yet. A group without a record
// gets one as soon as it has a primary.
func (el *Elector) addRecorded(now time.Time, m EpochAcquired) {
	if len(m.Recorded) == 0 {
		el.setRecorded(nil)
		return
	}
	el.record.found = true
	el.setRecorded(slices.Compact(slices.Sorted(slices.Values(slices.Concat(m.Recorded, m.Added)))))
	for _, id := range m.Recorded {
		if el.servers[id] == nil && !el.forgotten[id] {
			el.servers[id] = &server{Endpoint: Endpoint{ID: id}, departedAt: now}
		}
	}
}

// setRecorded takes in what the record lists, nil if that is not known any more.
func (el *Elector) setRecorded(all []ident.Endpoint) {
	el.record.servers, el.record.unchecked = all, true
}

// updateRecord requests that the record lists exactly the servers that count. Only
// the owner of a group with a primary does so, because the primary has to be one of
// them.
func (el *Elector) updateRecord(now time.Time) {
	if !el.record.unchecked || el.state != Steady || el.servers[el.primary] == nil || el.epoch == 0 || now.Sub(el.record.requestedAt) < recordPause {
		return
	}
	known := el.knownServers()
	if slices.Equal(known, el.record.servers) {
		el.record.unchecked = false
		return
	}
	el.record.requestedAt = now
	el.emit(RecordServers{Epoch: el.epoch, Servers: known})
}

// serversKnown reports whether no server that may hold acknowledged commits is
// missing from those that count: the record lists them, or all that are alive had
// the time to be listed.
func (el *Elector) serversKnown(now time.Time) bool {
	return el.record.found || !el.listedSince.IsZero() && now.Sub(el.listedSince) >= entryReturnTime
}

// primaryCounted reports whether the servers that count include the latest primary.
// The record includes it, also if this instance does not know which one it is.
func (el *Elector) primaryCounted() bool {
	if el.primary == "" {
		return el.record.found && len(el.forgotten) == 0
	}
	return el.servers[el.primary] != nil
}
