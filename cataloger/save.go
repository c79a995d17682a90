package cataloger

import (
	"encoding/binary"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane/encoder"
)

// File stores the catalog of a control host across restarts. Its content may be outdated. After a failure of all processes
// it gives the entries all servers at once; otherwise all requests would go to the first few servers that report again.
// Servers that have ended in the meantime refuse connections, and their leases expire.
type File struct {
	// Path is the path of the file; its folder must exist.
	Path string
}

// maxFileAge is the age above which a saved catalog is ignored.
const maxFileAge = time.Minute

// fileHeaderBytes is the size of the header: a checksum, and the time at which the file was written in Unix ms.
const fileHeaderBytes = 16

// save replaces the file. After a crash there is the old file, the new one, or one whose checksum does not match.
func (f File) save(list []Report, now time.Time) error {
	payload, err := proto.Marshal(&encoder.Heartbeats{Records: encode(list)})
	if err != nil {
		return errors.Trace(err)
	}
	data := make([]byte, fileHeaderBytes, fileHeaderBytes+len(payload))
	binary.LittleEndian.PutUint64(data[8:], uint64(now.UnixMilli()))
	data = append(data, payload...)
	binary.LittleEndian.PutUint64(data, xxhash.Sum64(data[8:]))
	tmp, err := os.Create(f.Path + ".tmp")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = tmp.Write(data)
	if err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(tmp.Name(), f.Path))
}

// load returns the saved servers, or none if the file does not exist or is older than maxFileAge.
func (f File) load(now time.Time) ([]Report, error) {
	data, err := os.ReadFile(f.Path)
	switch {
	case os.IsNotExist(err):
		return nil, nil
	case err != nil:
		return nil, errors.Trace(err)
	case len(data) < fileHeaderBytes || binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[8:]):
		return nil, errors.New("saved catalog is damaged: truncated or wrong checksum")
	}
	sinceSave := now.Sub(time.UnixMilli(int64(binary.LittleEndian.Uint64(data[8:]))))
	if sinceSave.Abs() > maxFileAge {
		return nil, nil
	}
	m := &encoder.Heartbeats{}
	if err := proto.Unmarshal(data[fileHeaderBytes:], m); err != nil {
		return nil, errors.Trace(err)
	}
	list := decode(m.Records)
	for i := range list {
		list[i].Age = 0 // The server gets a full lease to report again.
		if list[i].Limit != nil {
			list[i].Limit.Age += max(0, sinceSave)
		}
	}
	return list, nil
}

// restore merges the saved servers into the catalog.
func (c *ControlCatalog) restore() {
	if c.cfg.File.Path == "" {
		return
	}
	now := time.Now()
	list, err := c.cfg.File.load(now)
	if err != nil {
		c.cfg.Log.Info("could not load the saved catalog", "reason", err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		c.catalog.Merge(r, now)
	}
	c.savedRevision = c.catalog.Revision()
	c.cfg.Log.Info("kept catalog taken", "servers", len(list))
}

// saveLoop saves the servers that accept requests, at most once a second and only after a change.
func (c *ControlCatalog) saveLoop() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-c.ctx.Done():
			return
		}
		now := time.Now()
		list, changed := c.takeUnsaved(now)
		if !changed {
			continue
		}
		if err := c.cfg.File.save(list, now); err != nil {
			c.cfg.Log.V(1).Info("could not save the catalog", "reason", err.Error())
		}
	}
}

// takeUnsaved lists the servers that accept requests and marks the current revision as saved. It returns false if nothing
// has changed since the last call.
func (c *ControlCatalog) takeUnsaved(now time.Time) ([]Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.savedRevision == c.catalog.Revision() {
		return nil, false
	}
	c.savedRevision = c.catalog.Revision()
	list := c.catalog.ChangedSince(0, now)
	return slices.DeleteFunc(list, func(r Report) bool { return r.Ended || r.Draining || r.LeaseExpired }), true
}
