package plat_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, options ...plat.Option) *plat.Server {
	t.Helper()
	s, err := plat.Start(context.Background(), options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// call sends a request on a new connection and decodes the response.
func call(t *testing.T, method, url, body string, out any) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if out != nil {
		if err := json.NewDecoder(response.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

func TestControlSetsFaultsAndList(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	control, services := "http://"+s.ControlAddr(), "http://"+s.Addr()

	g.Expect(call(t, http.MethodPost, control+"/faults", `{"Outage":"Refuse","Delay":"5ms","LoseNext":2}`, nil)).To(Equal(http.StatusNoContent))
	g.Expect(call(t, http.MethodGet, services+"/bucket/key", "", nil)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(call(t, http.MethodPost, control+"/list", `[{"Name":"p1","Address":"127.0.0.1:1"}]`, nil)).To(Equal(http.StatusNoContent))
	g.Expect(call(t, http.MethodPost, control+"/list/entry", `{"Name":"p1","Address":"127.0.0.1:1","Leaving":true}`, nil)).To(Equal(http.StatusNoContent))
	g.Expect(call(t, http.MethodPost, control+"/list/entry", `{"Name":"p2","Address":"127.0.0.1:2"}`, nil)).To(Equal(http.StatusNoContent))

	listed := []plat.Listed{{Name: "p1", Address: "127.0.0.1:1", Leaving: true}, {Name: "p2", Address: "127.0.0.1:2"}}
	var state plat.State
	g.Expect(call(t, http.MethodGet, control+"/state", "", &state)).To(Equal(http.StatusOK))
	g.Expect(state.List).To(Equal(listed))
	g.Expect(state.Faults.Outage).To(Equal(plat.Refuse))
	g.Expect(state.Counters.Refused).To(BeEquivalentTo(1))
	var seen []plat.Listed
	g.Expect(call(t, http.MethodGet, services+"/list", "", &seen)).To(Equal(http.StatusOK))
	g.Expect(seen).To(Equal(listed))
}

func TestControlRejectsInvalidBody(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	for _, body := range []string{"", "{", `{"Outages":"Refuse"}`, `{"Delay":5}`} {
		g.Expect(call(t, http.MethodPost, "http://"+s.ControlAddr()+"/faults", body, nil)).To(Equal(http.StatusBadRequest), body)
	}
	g.Expect(s.Faults()).To(Equal(plat.Faults{}))
}

func TestListLag(t *testing.T) {
	g := NewWithT(t)
	s := start(t, plat.WithListLag(time.Hour))
	s.SetList([]plat.Listed{{Name: "p1"}})
	var seen []plat.Listed
	call(t, http.MethodGet, "http://"+s.Addr()+"/list", "", &seen)
	g.Expect(seen).To(BeEmpty())
}

// TestCloseDuringHangingOutage closes the server while a call waits for a
// response that an outage withholds. Close must end the call.
func TestCloseDuringHangingOutage(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	s.SetFaults(plat.Faults{Outage: plat.Hang})
	var calls errgroup.Group
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr()+"/bucket/key", nil)
	g.Expect(err).NotTo(HaveOccurred())
	calls.Go(func() error {
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	})
	g.Eventually(func() uint64 { return s.Counters().Refused }).WithTimeout(5 * time.Second).Should(BeEquivalentTo(1))
	g.Expect(s.Close()).To(Succeed())
	g.Expect(calls.Wait()).To(HaveOccurred())
}
