package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// A frame holds one synced batch: magic, payload length, CRC32C of the payload,
// CRC32C of these three fields, payload. Each frame is durable before the next
// is written, so a valid frame after an invalid one proves corruption.
const (
	frameMagic       = 0xa7c95b31
	frameHeaderBytes = 16
	sectorBytes      = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of record to buffer.
func appendFrame(buffer []byte, record *api.WALRecord) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, record)
	if err != nil {
		return nil, err
	}
	payload := buffer[start+frameHeaderBytes:]
	header := buffer[start : start+frameHeaderBytes]
	binary.LittleEndian.PutUint32(header, frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	return buffer, nil
}

// headerAt reports whether data starts with a valid frame header, and the
// payload length that it states.
func headerAt(data []byte) (length uint64, ok bool) {
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(data[:12], castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return 0, false
	}
	return uint64(binary.LittleEndian.Uint32(data[4:])), true
}

// frameAt returns the payload of the frame at the start of data. ok is false if
// the frame is incomplete or fails a checksum.
func frameAt(data []byte) (payload []byte, ok bool) {
	length, ok := headerAt(data)
	if !ok || length > uint64(len(data)-frameHeaderBytes) {
		return nil, false
	}
	payload = data[frameHeaderBytes : frameHeaderBytes+length]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

// isTornTail reports whether the bytes after the last valid frame can result from
// a crash during one write: the frame is truncated, or a sector was never written
// to disk. Anything else was a complete frame before and is corruption.
func isTornTail(data []byte, offset int) bool {
	tail := data[offset:]
	if containsFrame(tail) {
		return false
	}
	if len(tail) < frameHeaderBytes || hasZeroSector(data, offset) {
		return true
	}
	length, ok := headerAt(tail)
	return ok && length > uint64(len(tail)-frameHeaderBytes)
}

// containsFrame reports whether a valid frame starts after the first byte.
func containsFrame(tail []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for i := 1; i < len(tail); i++ {
		found := bytes.Index(tail[i:], magic)
		if found < 0 {
			return false
		}
		i += found
		if _, ok := frameAt(tail[i:]); ok {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the part of any sector at or after offset holds
// only zeros.
func hasZeroSector(data []byte, offset int) bool {
	for start := offset; start < len(data); {
		end := min((start/sectorBytes+1)*sectorBytes, len(data))
		if len(bytes.Trim(data[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
