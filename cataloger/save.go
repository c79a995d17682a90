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

// File keeps the catalog of a control host over restarts. It is a hint: after the loss of all processes, entries get all
// servers at once and not one after the other as they report, which would put all requests on the first few. What has
// ended meanwhile refuses connections and lapses.
type File struct {
	// Path names the file; its folder exists.
	Path string
}

// fileLife is how old a kept catalog may be.
const fileLife = time.Minute

// fileHeader is the checksum and the Unix ms of the time at which the file was written.
const fileHeader = 16

// save replaces the file. A crash leaves the old one, the new one, or one whose checksum is wrong.
func (f File) save(list []Report, now time.Time) error {
	payload, err := proto.Marshal(&encoder.Heartbeats{Records: encode(list)})
	if err != nil {
		return errors.Trace(err)
	}
	data := make([]byte, fileHeader, fileHeader+len(payload))
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
	if closed := tmp.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(tmp.Name(), f.Path))
}

// load returns the kept servers that may still be there.
func (f File) load(now time.Time) ([]Report, error) {
	data, err := os.ReadFile(f.Path)
	switch {
	case os.IsNotExist(err):
		return nil, nil
	case err != nil:
		return nil, errors.Trace(err)
	case len(data) < fileHeader || binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[8:]):
		return nil, errors.New("kept catalog is damaged")
	}
	if now.Sub(time.UnixMilli(int64(binary.LittleEndian.Uint64(data[8:])))).Abs() > fileLife {
		return nil, nil
	}
	m := &encoder.Heartbeats{}
	if err := proto.Unmarshal(data[fileHeader:], m); err != nil {
		return nil, errors.Trace(err)
	}
	list := decode(m.Records)
	for i := range list {
		list[i].Age = 0 // It has the whole lease to report again.
	}
	return list, nil
}

// restore takes the kept servers into the catalog.
func (k *ControlCatalog) restore() {
	if k.cfg.File.Path == "" {
		return
	}
	now := time.Now()
	list, err := k.cfg.File.load(now)
	if err != nil {
		k.cfg.Log.Info("kept catalog not used", "reason", err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range list {
		k.catalog.Merge(r, now)
	}
	k.saved = k.catalog.Revision()
	k.cfg.Log.Info("kept catalog taken", "servers", len(list))
}

// saveLoop keeps the servers that take requests, at most once a second and only after a change.
func (k *ControlCatalog) saveLoop() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.ctx.Done():
			return
		}
		now := time.Now()
		list, changed := k.unsaved(now)
		if !changed {
			continue
		}
		if err := k.cfg.File.save(list, now); err != nil {
			k.cfg.Log.V(1).Info("catalog not kept", "reason", err.Error())
		}
	}
}

// unsaved lists the servers that take requests, and reports false when nothing has changed since it last did.
func (k *ControlCatalog) unsaved(now time.Time) ([]Report, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.saved == k.catalog.Revision() {
		return nil, false
	}
	k.saved = k.catalog.Revision()
	list := k.catalog.Since(0, now)
	return slices.DeleteFunc(list, func(r Report) bool { return r.Ended || r.Draining || r.LeaseExpired }), true
}
