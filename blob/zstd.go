package blob

import (
	"github.com/klauspost/compress/zstd"

	"amaranthpaddle/fault"
)

// Compression is tried on pieces of at least minCompress bytes, and kept when
// it saves at least one part in gainShare.
const (
	minCompress = 512
	gainShare   = 8
	maxPiece    = 4 << 20 // bytes of one piece, decompressed
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(2),
		zstd.WithWindowSize(1<<20))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(maxPiece))
)

// Compress returns p as one zstd frame, or p itself and false when that does not pay.
func Compress(p []byte) ([]byte, bool) {
	if len(p) < minCompress || len(p) > maxPiece {
		return p, false
	}
	frame := encoder.EncodeAll(p, make([]byte, 0, len(p)))
	if len(frame) > len(p)-len(p)/gainShare {
		return p, false
	}
	return frame, true
}

// Decompress returns the content of one frame made by Compress, or
// fault.DataCorrupt.
func Decompress(frame []byte) ([]byte, error) {
	p, err := decoder.DecodeAll(frame, nil)
	return p, fault.Wrap(fault.DataCorrupt, err, "decompress")
}
