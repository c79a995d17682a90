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

// A segment consists of a magic number and a sequence of frames. All integers are little endian. A frame has the layout
//
//	payload length          4 bytes
//	kind                    4 bytes
//	header checksum         4 bytes, CRC-32C of the two fields above
//	frame checksum          8 bytes, xxhash of segment number, offset, the three fields above and payload
//	payload
//
// Each call of the Store writes a single frame, so that a crash can damage only the last frame. The frame checksum
// includes the segment number and the offset, so that a frame is valid only at its own position: neither payload bytes
// that look like a frame nor blocks of another file are taken for one.
const (
	segmentMagic     = "vanelog1"
	snapshotMagic    = "vanesnp1"
	frameHeaderBytes = 20
	// maxPayloadBytes limits the allocation that a damaged payload length can cause.
	maxPayloadBytes = 1 << 30
)

// Kinds of frames.
const (
	frameHardState uint32 = iota + 1
	frameEntries
	frameTruncate
	// frameReset discards all log entries. The next entry follows the index in the payload.
	frameReset
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	kind    uint32
	payload []byte
	// end is the offset of the first byte after the frame.
	end int64
}

// frameChecksum returns the checksum of a frame. header is the part of the header before the checksum.
func frameChecksum(segment uint64, offset int64, header, payload []byte) uint64 {
	var location [16]byte
	binary.LittleEndian.PutUint64(location[:], segment)
	binary.LittleEndian.PutUint64(location[8:], uint64(offset))
	h := xxhash.New()
	_, _ = h.Write(location[:])
	_, _ = h.Write(header)
	_, _ = h.Write(payload)
	return h.Sum64()
}

// appendFrame appends the encoded frame to b. offset is the position of the frame in the segment.
func appendFrame(b []byte, segment uint64, offset int64, kind uint32, payload []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], kind)
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	binary.LittleEndian.PutUint64(header[12:], frameChecksum(segment, offset, header[:12], payload))
	b = append(b, header[:]...)
	return append(b, payload...)
}

// readFrame decodes the frame at the offset. It returns false if there is no intact frame.
func readFrame(data []byte, segment uint64, offset int64) (frame, bool) {
	remaining := data[offset:]
	if len(remaining) < frameHeaderBytes {
		return frame{}, false
	}
	header := remaining[:frameHeaderBytes]
	if binary.LittleEndian.Uint32(header[8:]) != crc32.Checksum(header[:8], castagnoli) {
		return frame{}, false
	}
	n := int64(binary.LittleEndian.Uint32(header))
	if n > maxPayloadBytes || n > int64(len(remaining)-frameHeaderBytes) {
		return frame{}, false
	}
	payload := remaining[frameHeaderBytes : frameHeaderBytes+n]
	if binary.LittleEndian.Uint64(header[12:]) != frameChecksum(segment, offset, header[:12], payload) {
		return frame{}, false
	}
	return frame{kind: binary.LittleEndian.Uint32(header[4:]), payload: payload, end: offset + frameHeaderBytes + n}, true
}

// nextIntactFrame returns the offset of the first intact frame that starts after the given offset, or -1.
func nextIntactFrame(data []byte, segment uint64, offset int64) int64 {
	for i := offset + 1; i+frameHeaderBytes <= int64(len(data)); i++ {
		if _, ok := readFrame(data, segment, i); ok {
			return i
		}
	}
	return -1
}

// readSegment calls handle for each frame and returns the size of the intact part. Damage is accepted only in the last
// segment and only if no intact frame follows it, which is the state that a crash during a write leaves behind.
func readSegment(name string, data []byte, segment uint64, isLast bool, handle func(frame) error) (int64, error) {
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		if isLast && nextIntactFrame(data, segment, -1) < 0 {
			return 0, nil
		}
		return 0, &sycamorevane.CorruptError{File: name, Offset: 0, Reason: "no segment header"}
	}
	offset := int64(len(segmentMagic))
	for offset < int64(len(data)) {
		f, ok := readFrame(data, segment, offset)
		if !ok {
			if isLast && nextIntactFrame(data, segment, offset) < 0 {
				return offset, nil
			}
			return 0, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: "checksum of a frame does not match"}
		}
		if err := handle(f); err != nil {
			return 0, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset = f.end
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

func encodeHardState(h sycamorevane.HardState) []byte {
	return append(encodeIndex(h.Term), h.VotedFor...)
}

func decodeHardState(payload []byte) (sycamorevane.HardState, error) {
	if len(payload) < 8 {
		return sycamorevane.HardState{}, errors.New("hard state is shorter than 8 bytes")
	}
	return sycamorevane.HardState{Term: binary.LittleEndian.Uint64(payload), VotedFor: string(payload[8:])}, nil
}

func encodeIndex(index uint64) []byte { return binary.LittleEndian.AppendUint64(nil, index) }

func decodeIndex(payload []byte) (uint64, error) {
	if len(payload) != 8 {
		return 0, errors.New("index is not 8 bytes long")
	}
	return binary.LittleEndian.Uint64(payload), nil
}

// encodeSnapshot returns the content of a snapshot file. It consists of magic number, checksum, index, term and length
// of the membership, each 8 bytes long, followed by membership and data. The checksum covers everything after it.
func encodeSnapshot(s sycamorevane.Snapshot) []byte {
	b := make([]byte, 0, snapshotHeaderBytes+len(s.Membership)+len(s.Data))
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

const snapshotHeaderBytes = 40

func decodeSnapshot(name string, b []byte) (sycamorevane.Snapshot, error) {
	corrupt := func(offset int64, reason string) (sycamorevane.Snapshot, error) {
		return sycamorevane.Snapshot{}, &sycamorevane.CorruptError{File: name, Offset: offset, Reason: reason}
	}
	if len(b) < snapshotHeaderBytes || string(b[:8]) != snapshotMagic {
		return corrupt(0, "no snapshot header")
	}
	if binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[16:]) {
		return corrupt(8, "checksum of the snapshot does not match")
	}
	n := binary.LittleEndian.Uint64(b[32:])
	if n > uint64(len(b)-snapshotHeaderBytes) {
		return corrupt(32, "membership length exceeds the size of the file")
	}
	return sycamorevane.Snapshot{
		Index: binary.LittleEndian.Uint64(b[16:]), Term: binary.LittleEndian.Uint64(b[24:]),
		Membership: b[snapshotHeaderBytes : snapshotHeaderBytes+n], Data: b[snapshotHeaderBytes+n:],
	}, nil
}
