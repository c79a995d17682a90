// Package pinner helps tests to compare bytes that leave a process with those in a stored file. Only tests use it.
package pinner

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is where the stored files are made anew: GOLDEN=write go test ./PACKAGE. What it writes must be read by a person.
const mode = "GOLDEN"

func path(name string) string { return filepath.Join("testdata", name) }

func writing() bool { return os.Getenv(mode) == "write" }

func store(t testing.TB, name string, data []byte) {
	t.Helper()
	require.NoError(t, os.MkdirAll("testdata", 0o755))
	require.NoError(t, os.WriteFile(path(name), data, 0o644))
}

// Check compares data with a stored file of the package under test, byte for byte, and returns the stored bytes.
func Check(t testing.TB, name string, data []byte) []byte {
	t.Helper()
	if writing() {
		store(t, name, data)
	}
	stored, err := os.ReadFile(path(name))
	require.NoError(t, err)
	require.Equal(t, string(stored), string(data), "%s: other versions and stored files hold the stored bytes", name)
	return stored
}

// CheckZipped compares the content of compressed data with a stored file, and returns the compressed form that is
// stored beside it. Another version of Go may compress otherwise.
func CheckZipped(t testing.TB, name string, data []byte) []byte {
	t.Helper()
	Check(t, name, Unzip(t, data))
	if writing() {
		store(t, name+".gz", data)
	}
	stored, err := os.ReadFile(path(name + ".gz"))
	require.NoError(t, err)
	require.Equal(t, string(Unzip(t, data)), string(Unzip(t, stored)), name+".gz")
	return stored
}

// Unzip returns the content of compressed data.
func Unzip(t testing.TB, data []byte) []byte {
	t.Helper()
	z, err := gzip.NewReader(bytes.NewReader(data))
	require.NoError(t, err)
	content, err := io.ReadAll(z)
	require.NoError(t, err)
	return content
}

// CheckJSON pins the JSON form of a T with every field filled, and that the stored form is read back as the same value.
func CheckJSON[T any](t testing.TB, name string, v T) {
	t.Helper()
	require.Empty(t, Unfilled(v))
	data, err := json.Marshal(v)
	require.NoError(t, err)
	var read T
	require.NoError(t, json.Unmarshal(Check(t, name, data), &read))
	require.Equal(t, v, read)
}

// Fill returns a T in which every exported field, at any depth, has a value of its own; flags are true. Lists and maps
// have one item.
func Fill[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Interface().(type) {
	case time.Duration:
		v.SetInt(int64(*n) * int64(1500*time.Microsecond)) // Half a millisecond shows a unit that is rounded.
		return
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *n))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, item := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(item, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, item)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	default:
		panic("cannot fill a " + v.Type().String())
	}
}

// Unfilled returns the places of all exported fields, at any depth, that have the zero value or no items.
func Unfilled(v any) []string { return unfilled(reflect.ValueOf(v), reflect.TypeOf(v).Name()) }

func unfilled(v reflect.Value, place string) []string {
	var list []string
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return unfilled(v.Elem(), place)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			list = append(list, unfilled(v.Index(i), fmt.Sprintf("%s[%d]", place, i))...)
		}
		if v.Len() > 0 {
			return list
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			list = append(list, unfilled(v.MapIndex(key), fmt.Sprintf("%s[%v]", place, key))...)
		}
		if v.Len() > 0 {
			return list
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				list = append(list, unfilled(v.Field(i), place+"."+f.Name)...)
			}
		}
		return list
	default:
		if !v.IsZero() {
			return nil
		}
	}
	return []string{place}
}

// Nameless returns v as JSON with every structure as the list of its values. It pins what a file is read as where the
// names of the Go fields do not leave the process.
func Nameless(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(nameless(reflect.ValueOf(v)), "", " ")
	require.NoError(t, err)
	return append(data, '\n')
}

func nameless(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return nameless(v.Elem())
	case reflect.Slice, reflect.Array:
		list := make([]any, v.Len())
		for i := range list {
			list[i] = nameless(v.Index(i))
		}
		return list
	case reflect.Struct:
		list := make([]any, v.NumField())
		for i := range list {
			list[i] = nameless(v.Field(i))
		}
		return list
	default:
		return v.Interface()
	}
}
