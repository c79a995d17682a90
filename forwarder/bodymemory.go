package forwarder

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
)

const (
	// bodyMemoryDivisor is the part of the memory limit of the Go runtime that buffered bodies take together. The rest is
	// for the collector, the connections and the bodies that are streamed.
	bodyMemoryDivisor = 4
	// minCountedBytes is the size up to which a response is always buffered, since streaming it would take as much memory.
	minCountedBytes = copyBufferBytes
)

// bodyMemory limits the memory of the bodies that are buffered in all exchanges together. Responses that do not fit are
// streamed: they take at most copyBufferBytes, but cannot be requested from another server if they break off.
type bodyMemory struct {
	maxBytes int64
	used     atomic.Int64
}

// newBodyMemory derives the limit from the memory limit of the Go runtime. Without that there is practically no limit.
func newBodyMemory() *bodyMemory {
	return &bodyMemory{maxBytes: debug.SetMemoryLimit(-1) / bodyMemoryDivisor}
}

func (m *bodyMemory) take(n int64) bool {
	if m.used.Add(n) <= m.maxBytes {
		return true
	}
	m.used.Add(-n)
	return false
}

// callMemory is the memory that one call has taken. An attempt that outlives its call, as a hedge may, takes nothing.
type callMemory struct {
	total *bodyMemory

	mu       sync.Mutex
	taken    int64
	released bool
}

// take reports whether n bytes may be buffered until the end of the call.
func (m *callMemory) take(n int64) bool {
	if n <= minCountedBytes {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released || !m.total.take(n) {
		return false
	}
	m.taken += n
	return true
}

// takeUpload counts n bytes of a request body, which are buffered in any case: the fingerprint of a request must not
// depend on how much memory is free.
func (m *callMemory) takeUpload(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.used.Add(n)
	m.taken += n
}

func (m *callMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.total.used.Add(-m.taken)
	m.taken = 0
}
