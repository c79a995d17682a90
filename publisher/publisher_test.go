package publisher

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// outbox is a transport that keeps what is sent.
type outbox struct {
	sycamorevane.Transport
	sent map[string]*encoder.StatePush
}

func (*outbox) Handle(proto.Message, sycamorevane.Handler) {}

func (*outbox) Self() string { return "c" }

func (o *outbox) Send(to string, m proto.Message) error {
	o.sent[to] = m.(*encoder.StatePush)
	return nil
}

// Guards against work that grows with the square of the entries: what all of them are told is gathered once.
func TestPushIsCompletedOnce(t *testing.T) {
	entries := []string{"a", "b", "d"}
	calls := 0
	out := &outbox{sent: make(map[string]*encoder.StatePush)}
	p := New(Config{
		Transport: out, Log: logr.Discard(),
		State:   func() *sycamorevane.State { return &sycamorevane.State{Version: 3} },
		Leader:  func() (bool, uint64) { return true, 2 },
		Entries: func() []string { return entries },
		Complete: func() func(*encoder.StatePush, string) {
			calls++
			return func(m *encoder.StatePush, entry string) { m.Members = []string{entry} }
		},
	})
	p.push()
	require.Equal(t, 1, calls)
	require.Len(t, out.sent, len(entries))
	for _, name := range entries {
		require.EqualValues(t, 3, out.sent[name].Version)
		require.Equal(t, []string{name}, out.sent[name].Members)
	}
}
