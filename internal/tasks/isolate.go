package tasks

import (
	"fmt"
	"runtime/debug"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// PanicError reports a panic that Isolate stopped.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Isolate runs f and returns its error. A panic in f becomes a PanicError, so
// that a fault that one caller meets does not end the process with the sessions
// of all others. The locks that f holds have to be released by defer. A violated
// invariant still panics in tests.
func Isolate(f func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if _, violated := value.(assert.Violation); violated {
			panic(value)
		}
		err = &PanicError{Value: value, Stack: debug.Stack()}
	}()
	return f()
}
