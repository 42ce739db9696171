//go:build unix

package back

import (
	"syscall"
)

// Alive reports whether an idle connection is still open: the endpoint has
// neither closed it nor sent unsolicited data. It does not block.
func (c *Conn) Alive() bool {
	if c.unusable || c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var quiet bool
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
	})
	return err == nil && quiet
}
