package sycamorevane

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
)

// FormatFingerprint returns the text form of a request's fingerprint in logs, commands and states: 16 hexadecimal digits.
func FormatFingerprint(fingerprint uint64) string {
	text := strconv.FormatUint(fingerprint, 16)
	return fingerprintZeros[len(text):] + text
}

const fingerprintZeros = "0000000000000000"

// ParseFingerprint reverses FormatFingerprint. Errors are those of strconv.
func ParseFingerprint(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

// Set is an unordered set of small values.
type Set[T cmp.Ordered] map[T]struct{}

func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

// MarshalJSON encodes the set as a sorted array.
func (s Set[T]) MarshalJSON() ([]byte, error) { return json.Marshal(s.Sorted()) }

// UnmarshalJSON decodes an array.
func (s *Set[T]) UnmarshalJSON(data []byte) error {
	var values []T
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	*s = NewSet(values...)
	return nil
}

// Ring is a bounded FIFO queue that is safe for concurrent use.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	n      int
	wake   chan struct{}
	closed bool
}

// NewRing returns a ring that holds at most size items; size must be at least 1.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, size), wake: make(chan struct{}, 1)}
}

// Push appends v. It returns false when the ring is full or closed.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	if r.n == len(r.items) || r.closed {
		r.mu.Unlock()
		return false
	}
	r.items[(r.head+r.n)%len(r.items)] = v
	r.n++
	r.mu.Unlock()
	r.signal()
	return true
}

// Pop removes and returns the oldest item. It returns false when the ring is empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.n == 0 {
		return zero, false
	}
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.n--
	return v, true
}

// Wake returns a channel that receives a signal after a Push or Close. One signal may stand for several items, so that
// readers must call Pop until the ring is empty.
func (r *Ring[T]) Wake() <-chan struct{} { return r.wake }

func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Close makes further calls of Push fail and wakes the reader. Queued items can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
