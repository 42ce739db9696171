package peer

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// wireTypes are all message types.
func wireTypes() []reflect.Type {
	all := []Message{
		Hello{}, Head{}, DocumentRequest{}, Document{}, GroupState{}, TokenRequest{}, TokenLoan{}, LeaseRequest{}, LeasePromise{},
		DirectoryRequest{}, Directory{}, Call{}, CallWithdrawn{}, Answer{}, Heartbeat{}, MemberRequest{}, MemberList{},
		ReachRequest{}, ReachReply{}, QuotaRequest{}, QuotaGrant{}, Leaving{}, Last{}, EvacuationRequest{}, EvacuationList{}, Part{}, PartReceived{},
	}
	var types []reflect.Type
	for _, m := range all {
		types = append(types, reflect.TypeOf(m))
	}
	return types
}

// numbersOf adds the integer fields of a type, and of the types in it, as TYPE.FIELD.
func numbersOf(t reflect.Type, found map[string]bool) {
	switch t.Kind() {
	case reflect.Slice, reflect.Array, reflect.Pointer, reflect.Map:
		numbersOf(t.Elem(), found)
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			switch field.Type.Kind() {
			case reflect.Int, reflect.Int8, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
				found[fmt.Sprintf("%s.%s", t.Name(), field.Name)] = true
			default:
				numbersOf(field.Type, found)
			}
		}
	}
}

// TestNumbersHaveAScope guards against a number in a message that two processes of one
// instance give out for different matters, as calls and transactions once were. Each
// number is listed in testdata/numbers with what makes it unique, or with what it
// measures. docs/design/identity.md has the reasons.
func TestNumbersHaveAScope(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/numbers")
	g.Expect(err).NotTo(HaveOccurred())
	listed := make(map[string]bool)
	for line := range strings.Lines(string(text)) {
		if name, scope, _ := strings.Cut(strings.TrimSpace(line), " "); name != "" && name != "#" {
			g.Expect(strings.TrimSpace(scope)).NotTo(BeEmpty(), name)
			listed[name] = true
		}
	}
	found := make(map[string]bool)
	types := wireTypes()
	for _, m := range types {
		numbersOf(m, found)
	}
	g.Expect(types).To(HaveLen(kinds-1), "a message type is missing in wireTypes")
	g.Expect(slices.Sorted(maps.Keys(found))).To(Equal(slices.Sorted(maps.Keys(listed))))
}
