package slope

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// Print writes the points as a Markdown table.
func Print(w io.Writer, all []*Point) error {
	head := "| Instances | Groups | Accounts | Core % | Process core % | MB | Messages/s | KB/s | of heads | of quota | Probes/s " +
		"| Store reads/s | Store writes/s | Writes at start | Writes at end | Change s | Moved groups | Move s |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return errors.Wrap(err, "print points")
	}
	for _, p := range all {
		_, err := fmt.Fprintf(w, "| %d | %d | %d | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f | %.1f | %.1f | %.2f | %d | %.2f |\n",
			p.Instances, p.Groups, p.Accounts, 100*p.Core, 100*p.ProcessCore, p.Memory/megabyte, p.Messages, p.Bytes/kilobyte,
			p.HeadBytes/kilobyte, p.QuotaBytes/kilobyte, p.Probes, p.StoreReads, p.StoreWrites, p.StartWrites, p.StopWrites,
			p.ChangeSeconds, p.Moved, p.MoveSeconds)
		if err != nil {
			return errors.Wrap(err, "print points")
		}
	}
	return nil
}
