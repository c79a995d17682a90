package encoder

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against messages that processes of another version cannot read: a changed name, number or type of a message,
// field or enum value changes the bytes that other versions send and that stored files hold.
func TestGoldenMessages(t *testing.T) {
	var list []string
	protoregistry.GlobalFiles.RangeFilesByPackage(protoPackage, func(f protoreflect.FileDescriptor) bool {
		list = append(list, enums(f.Enums())...)
		list = append(list, messages(t, f.Messages())...)
		return true
	})
	slices.Sort(list)
	goldentester.Check(t, "messages.txt", []byte(strings.Join(list, "\n")))
	require.Equal(t, len(types()), strings.Count(strings.Join(list, "\n"), ", kind "), "each kind is listed once")
}

func messages(t *testing.T, all protoreflect.MessageDescriptors) []string {
	var list []string
	for i := range all.Len() {
		m := all.Get(i)
		var b strings.Builder
		fmt.Fprintf(&b, "message %s", m.FullName())
		// Nested messages are only sent as part of others and have no kind.
		if m.FullName().Parent() == protoPackage {
			messageType, err := protoregistry.GlobalTypes.FindMessageByName(m.FullName())
			require.NoError(t, err)
			kind := Kind(messageType.New().Interface())
			require.Equal(t, m.FullName(), New(kind).ProtoReflect().Descriptor().FullName())
			fmt.Fprintf(&b, ", kind %d", kind)
		}
		b.WriteByte('\n')
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			fmt.Fprintf(&b, "  %d %s %s %s", f.Number(), f.Name(), f.Cardinality(), f.Kind())
			if f.Message() != nil {
				fmt.Fprintf(&b, " %s", f.Message().FullName())
			}
			if f.Enum() != nil {
				fmt.Fprintf(&b, " %s", f.Enum().FullName())
			}
			if f.IsPacked() {
				b.WriteString(" packed")
			}
			if o := f.ContainingOneof(); o != nil {
				fmt.Fprintf(&b, " in %s", o.Name())
			}
			b.WriteByte('\n')
		}
		list = append(list, b.String())
		list = append(list, messages(t, m.Messages())...)
		list = append(list, enums(m.Enums())...)
	}
	return list
}

func enums(all protoreflect.EnumDescriptors) []string {
	var list []string
	for i := range all.Len() {
		e := all.Get(i)
		text := fmt.Sprintf("enum %s\n", e.FullName())
		for j := range e.Values().Len() {
			v := e.Values().Get(j)
			text += fmt.Sprintf("  %d %s\n", v.Number(), v.Name())
		}
		list = append(list, text)
	}
	return list
}
