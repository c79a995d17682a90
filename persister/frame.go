package persister

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// A segment is a magic number and a sequence of frames. A frame is
//
//	length of the payload   4 bytes, little endian
//	kind                    4 bytes
//	checksum of the above   4 bytes, CRC-32C
//	checksum of all         8 bytes, xxhash over segment number, offset, header and payload
//	payload
//
// One frame holds everything that one call of the Store writes, so that a crash can damage only the last frame.
// The segment number and the offset in the checksum make a frame valid in its own place only: neither payload
// bytes that look like a frame nor blocks of another file pass as one.
const (
	segmentMagic  = "vanelog1"
	snapshotMagic = "vanesnp1"
	headerSize    = 20
	// maxFrame bounds the allocation that a damaged length can cause.
	maxFrame = 1 << 30
)

// Kinds of frame.
const (
	frameHard uint32 = iota + 1
	frameEntries
	frameTruncate
	// frameReset empties the log; the next entry follows the given index.
	frameReset
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	kind    uint32
	payload []byte
	// end is the offset of the byte after the frame.
	end int64
}

func sum(segment uint64, offset int64, header, payload []byte) uint64 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	h := xxhash.New()
	_, _ = h.Write(place[:])
	_, _ = h.Write(header)
	_, _ = h.Write(payload)
	return h.Sum64()
}

// appendFrame adds the encoded frame to b; offset is its place in the segment.
func appendFrame(b []byte, segment uint64, offset int64, kind uint32, payload []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], kind)
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	binary.LittleEndian.PutUint64(header[12:], sum(segment, offset, header[:12], payload))
	b = append(b, header[:]...)
	return append(b, payload...)
}

// readFrame decodes the frame at the offset and reports false when there is no intact frame.
func readFrame(data []byte, segment uint64, offset int64) (frame, bool) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return frame{}, false
	}
	header := rest[:headerSize]
	if binary.LittleEndian.Uint32(header[8:]) != crc32.Checksum(header[:8], castagnoli) {
		return frame{}, false
	}
	n := int64(binary.LittleEndian.Uint32(header))
	if n > maxFrame || n > int64(len(rest)-headerSize) {
		return frame{}, false
	}
	payload := rest[headerSize : headerSize+n]
	if binary.LittleEndian.Uint64(header[12:]) != sum(segment, offset, header[:12], payload) {
		return frame{}, false
	}
	return frame{kind: binary.LittleEndian.Uint32(header[4:]), payload: payload, end: offset + headerSize + n}, true
}

// laterFrame returns the offset of the first intact frame after the given offset, or -1.
func laterFrame(data []byte, segment uint64, offset int64) int64 {
	for i := offset + 1; i+headerSize <= int64(len(data)); i++ {
		if _, ok := readFrame(data, segment, i); ok {
			return i
		}
	}
	return -1
}

// readSegment calls f for each frame and returns the size of the intact part. Damage is accepted only in the
// last segment and only when no intact frame follows it, which is what a crash during a write leaves behind.
func readSegment(name string, data []byte, segment uint64, last bool, f func(frame) error) (int64, error) {
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		if last && laterFrame(data, segment, -1) < 0 {
			return 0, nil
		}
		return 0, &sycamorevane.CorruptError{File: name, Offset: 0, Reason: "no segment header"}
	}
	offset := int64(len(segmentMagic))
	for offset < int64(len(data)) {
		fr, ok := readFrame(data, segment, offset)
		if !ok {
			if last && laterFrame(data, segment, offset) < 0 {
				return offset, nil
			}
			return 0, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: "checksum of a frame does not match"}
		}
		if err := f(fr); err != nil {
			return 0, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset = fr.end
	}
	return offset, nil
}

func encodeEntries(entries []sycamorevane.LogEntry) ([]byte, error) {
	m := &encoder.Consensus{}
	for _, e := range entries {
		m.Entries = append(m.Entries, &encoder.LogRecord{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return proto.Marshal(m)
}

func decodeEntries(payload []byte) ([]sycamorevane.LogEntry, error) {
	m := &encoder.Consensus{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, errors.Trace(err)
	}
	entries := make([]sycamorevane.LogEntry, 0, len(m.Entries))
	for _, r := range m.Entries {
		entries = append(entries, sycamorevane.LogEntry{Index: r.Index, Term: r.Term, Kind: uint8(r.Kind), Data: r.Data})
	}
	return entries, nil
}

func encodeHard(h sycamorevane.HardState) []byte {
	return append(encodeIndex(h.Term), h.VotedFor...)
}

func decodeHard(payload []byte) (sycamorevane.HardState, error) {
	if len(payload) < 8 {
		return sycamorevane.HardState{}, errors.New("hard state is too short")
	}
	return sycamorevane.HardState{Term: binary.LittleEndian.Uint64(payload), VotedFor: string(payload[8:])}, nil
}

func encodeIndex(index uint64) []byte { return binary.LittleEndian.AppendUint64(nil, index) }

func decodeIndex(payload []byte) (uint64, error) {
	if len(payload) != 8 {
		return 0, errors.New("index has a wrong length")
	}
	return binary.LittleEndian.Uint64(payload), nil
}

// encodeSnapshot returns the content of a snapshot file: magic, checksum, index, term, lengths, data.
func encodeSnapshot(s sycamorevane.Snapshot) []byte {
	b := make([]byte, 0, snapshotHeader+len(s.Membership)+len(s.Data))
	b = append(b, snapshotMagic...)
	b = binary.LittleEndian.AppendUint64(b, 0)
	b = binary.LittleEndian.AppendUint64(b, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Membership)))
	b = append(b, s.Membership...)
	b = append(b, s.Data...)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(b[16:]))
	return b
}

const snapshotHeader = 40

func decodeSnapshot(name string, b []byte) (sycamorevane.Snapshot, error) {
	damaged := func(offset int64, reason string) (sycamorevane.Snapshot, error) {
		return sycamorevane.Snapshot{}, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: reason}
	}
	if len(b) < snapshotHeader || string(b[:8]) != snapshotMagic {
		return damaged(0, "no snapshot header")
	}
	if binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[16:]) {
		return damaged(8, "checksum of the snapshot does not match")
	}
	n := binary.LittleEndian.Uint64(b[32:])
	if n > uint64(len(b)-snapshotHeader) {
		return damaged(32, "membership is longer than the file")
	}
	return sycamorevane.Snapshot{
		Index: binary.LittleEndian.Uint64(b[16:]), Term: binary.LittleEndian.Uint64(b[24:]),
		Membership: b[snapshotHeader : snapshotHeader+n], Data: b[snapshotHeader+n:],
	}, nil
}
