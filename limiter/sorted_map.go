package limiter

import "slices"

// sortedMap is a map that also keeps its values in the order of their keys. Owner and Borrower must visit them in the
// same order in every run, and sorting them on each event would be too slow.
type sortedMap[T any] struct {
	values map[string]T
	keys   []string
	list   []T
}

func newSortedMap[T any]() sortedMap[T] { return sortedMap[T]{values: make(map[string]T)} }

func (m *sortedMap[T]) get(key string) (T, bool) {
	v, ok := m.values[key]
	return v, ok
}

// add inserts a key that is not present.
func (m *sortedMap[T]) add(key string, v T) {
	i, _ := slices.BinarySearch(m.keys, key)
	m.keys = slices.Insert(m.keys, i, key)
	m.list = slices.Insert(m.list, i, v)
	m.values[key] = v
}

func (m *sortedMap[T]) remove(key string) {
	i, ok := slices.BinarySearch(m.keys, key)
	if !ok {
		return
	}
	m.keys = slices.Delete(m.keys, i, i+1)
	m.list = slices.Delete(m.list, i, i+1)
	delete(m.values, key)
}

// removeIf removes the keys for which shouldRemove returns true.
func (m *sortedMap[T]) removeIf(shouldRemove func(key string, v T) bool) {
	for i := len(m.keys) - 1; i >= 0; i-- {
		if shouldRemove(m.keys[i], m.list[i]) {
			m.remove(m.keys[i])
		}
	}
}
