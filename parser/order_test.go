package parser

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against errors whose order or content depends on map iteration, so that an operator would see different
// messages each time the same file is checked.
func TestFaultsAreTheSameOnEachRun(t *testing.T) {
	const file = `[limits]
[dc a]
[service s]
hosts = s.example
[host h]
dc = a
roles = zebra, entry, control, apple
mesh = 127.0.0.1:1
caller = 127.0.0.1:1
announce = 127.0.0.1:1
operator = 127.0.0.1:1
`
	_, first := ParseConfig("c.ini", []byte(file))
	require.Error(t, first)
	require.Contains(t, first.Error(), "already belongs")
	for range 50 {
		_, again := ParseConfig("c.ini", []byte(file))
		require.EqualError(t, again, first.Error())
	}
}
