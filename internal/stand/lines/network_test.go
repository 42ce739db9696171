package lines_test

import (
	"fmt"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// minNetwork and maxNetwork limit the number N of the loopback networks
// 127.0.N.0/24 that trials use. The lower ones are left to runs by hand.
const (
	minNetwork = 16
	maxNetwork = 250
)

// reserveNetwork returns a loopback network that no other trial uses, also in
// another process. Two runs of the tests at the same time used to share the
// addresses of their instances and reported each other's commits as lost.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	for n := minNetwork; n <= maxNetwork; n++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.254:%d", n, basePort))
		if err != nil {
			continue // another trial holds it
		}
		t.Cleanup(func() { NewWithT(t).Expect(lock.Close()).To(Succeed()) })
		return n
	}
	t.Fatal("no loopback network is free")
	return 0
}
