package main

import (
	"context"
	"fmt"
	"strings"
)

// playLineFeed writes a text that contains a line feed. A message ends with CR
// LF, and its last field extends to the end of the message.
func playLineFeed(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	c, err := connect(d.record, "one", d.instances[1].front(), "orders", "key-1")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	gap := " "
	if trouble {
		gap = "\n"
	}
	sent := make(map[string]string) // texts by ID
	for _, text := range []string{"WRITE note-1 two pallets" + gap + "QUERY 00000000f0f0f0f0 WRITE stock-9 0", "READ note-1", "READ note-2"} {
		a := c.query(text)
		sent[a.id] = text
	}
	var out []string
	for _, e := range d.service.ran() {
		text, known := sent[e.id]
		switch {
		case !known && e.id != "-":
			out = append(out, fmt.Sprintf("UNASKED: server %s ran %s %q for account %s, which no client sent as a message", e.server, e.id, e.text, e.account))
		case known && !strings.HasSuffix(e.text, text):
			out = append(out, fmt.Sprintf("UNASKED: server %s ran %s as %q, the client sent %q", e.server, e.id, e.text, text))
		}
	}
	return out, nil
}
