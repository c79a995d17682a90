package persister

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	// Sync returns when the content is on stable storage.
	Sync() error
}

// FS provides the file system operations that the store needs. Tests replace it to inject faults.
type FS interface {
	// CreateDir creates the directory if it does not exist.
	CreateDir(dir string) error
	// List returns the sorted names of the files in the directory.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, replacing an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in the directory durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock, which is released when it is closed or the process ends.
	Lock(name string) (io.Closer, error)
}

// OS implements FS with the file system of the operating system.
type OS struct{}

// CreateDir implements FS.
func (OS) CreateDir(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	if err := os.Chmod(dir, dirMode); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
