// Package goldentester compares bytes that leave a process with golden files. Only tests use it.
package goldentester

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

// goldenEnv is the environment variable that rewrites golden files: GOLDEN=write go test ./PACKAGE. Review what it writes.
const goldenEnv = "GOLDEN"

func goldenPath(name string) string { return filepath.Join("testdata", name) }

func writing() bool { return os.Getenv(goldenEnv) == "write" }

func writeGolden(t testing.TB, name string, data []byte) {
	t.Helper()
	require.NoError(t, os.MkdirAll("testdata", 0o755))
	require.NoError(t, os.WriteFile(goldenPath(name), data, 0o644))
}

// Check compares data with a golden file of the package under test, byte for byte, and returns the file's content.
func Check(t testing.TB, name string, data []byte) []byte {
	t.Helper()
	if writing() {
		writeGolden(t, name, data)
	}
	stored, err := os.ReadFile(goldenPath(name))
	require.NoError(t, err)
	require.Equal(t, string(stored), string(data), "%s: other versions and stored files hold the stored bytes", name)
	return stored
}

// CheckGzip compares the content of gzip data with a golden file, and returns the golden gzip file stored next to it.
// The compressed bytes themselves are not compared, since another version of Go may compress differently.
func CheckGzip(t testing.TB, name string, data []byte) []byte {
	t.Helper()
	Check(t, name, Gunzip(t, data))
	if writing() {
		writeGolden(t, name+".gz", data)
	}
	stored, err := os.ReadFile(goldenPath(name + ".gz"))
	require.NoError(t, err)
	require.Equal(t, string(Gunzip(t, data)), string(Gunzip(t, stored)), name+".gz")
	return stored
}

// Gunzip returns the content of gzip data.
func Gunzip(t testing.TB, data []byte) []byte {
	t.Helper()
	z, err := gzip.NewReader(bytes.NewReader(data))
	require.NoError(t, err)
	content, err := io.ReadAll(z)
	require.NoError(t, err)
	return content
}

// CheckJSON compares the JSON form of v, all of whose fields must be set, with a golden file, and checks that the file
// decodes to v.
func CheckJSON[T any](t testing.TB, name string, v T) {
	t.Helper()
	require.Empty(t, ZeroFields(v))
	data, err := json.Marshal(v)
	require.NoError(t, err)
	var read T
	require.NoError(t, json.Unmarshal(Check(t, name, data), &read))
	require.Equal(t, v, read)
}

// Fill returns a T in which every exported field, at any depth, has a distinct value; flags are true. Lists and maps
// have one item.
func Fill[T any]() T {
	var v T
	counter := 0
	fill(reflect.ValueOf(&v).Elem(), &counter)
	return v
}

func fill(v reflect.Value, counter *int) {
	*counter++
	switch v.Interface().(type) {
	case time.Duration:
		v.SetInt(int64(*counter) * int64(1500*time.Microsecond)) // Half milliseconds reveal rounding.
		return
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *counter))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*counter))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*counter) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *counter))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), counter)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), counter)
		}
	case reflect.Map:
		key, item := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, counter)
		fill(item, counter)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, item)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), counter)
			}
		}
	default:
		panic("cannot fill a " + v.Type().String())
	}
}

// ZeroFields returns the paths of all exported fields, at any depth, that have the zero value or no items.
func ZeroFields(v any) []string { return zeroFields(reflect.ValueOf(v), reflect.TypeOf(v).Name()) }

func zeroFields(v reflect.Value, fieldPath string) []string {
	var list []string
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return zeroFields(v.Elem(), fieldPath)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			list = append(list, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", fieldPath, i))...)
		}
		if v.Len() > 0 {
			return list
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			list = append(list, zeroFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", fieldPath, key))...)
		}
		if v.Len() > 0 {
			return list
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				list = append(list, zeroFields(v.Field(i), fieldPath+"."+f.Name)...)
			}
		}
		return list
	default:
		if !v.IsZero() {
			return nil
		}
	}
	return []string{fieldPath}
}

// MarshalValues returns v as JSON with every struct as the list of its values. It is for golden tests of parsed files,
// where the names of the Go fields do not leave the process.
func MarshalValues(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(valuesOf(reflect.ValueOf(v)), "", " ")
	require.NoError(t, err)
	return append(data, '\n')
}

func valuesOf(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return valuesOf(v.Elem())
	case reflect.Slice, reflect.Array:
		list := make([]any, v.Len())
		for i := range list {
			list[i] = valuesOf(v.Index(i))
		}
		return list
	case reflect.Struct:
		list := make([]any, v.NumField())
		for i := range list {
			list[i] = valuesOf(v.Field(i))
		}
		return list
	default:
		return v.Interface()
	}
}
