package lines

import (
	"context"
	"io"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// heldPause is the time until a held connection that ended is opened again.
const heldPause = 500 * time.Millisecond

// heldStarts are what held connections send before they go silent: nothing, part
// of a login, part of a statement.
func heldStarts(route ident.Route, key string) []string {
	login := "STARTUP " + string(route) + " " + key
	return []string{"", login[:len(login)-1], login + "\r\nQUERY held READ it"}
}

// holdAll opens the held connections to all instances.
func (l *load) holdAll(group *tasks.Group) {
	for i, front := range l.config.Fronts {
		for range l.config.Held {
			route, key := l.config.Routes[i%len(l.config.Routes)], l.config.Keys[i%len(l.config.Keys)]
			for _, start := range heldStarts(route.Name, key) {
				group.Go(func(ctx context.Context) error {
					l.hold(ctx, front, start)
					return nil
				})
			}
		}
	}
}

// hold keeps a connection open on which a message is not finished. It connects
// again whenever the connection has ended.
func (l *load) hold(ctx context.Context, front, start string) {
	for ctx.Err() == nil {
		l.holdOnce(ctx, front, start)
		tasks.Pause(ctx, heldPause)
	}
}

func (l *load) holdOnce(ctx context.Context, front, start string) {
	conn, err := l.config.Dial(ctx, "tcp", front)
	if err != nil {
		return // the instance is not running
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, start); err != nil {
		return // the instance has closed the connection
	}
	_, _ = io.Copy(io.Discard, conn) // until either side closes
}
