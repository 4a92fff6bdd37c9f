package blob

import (
	"github.com/klauspost/compress/zstd"

	"amaranthpaddle/fault"
)

// Data of minCompressBytes to maxDecompressedBytes is compressed. The compressed
// frame is used if it saves at least 1/minSavingDivisor of the size of the data.
const (
	minCompressBytes     = 512
	minSavingDivisor     = 8
	maxDecompressedBytes = 4 << 20 // also the memory limit of the decoder
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(2),
		zstd.WithWindowSize(1<<20))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
)

// Compress returns p as one zstd frame and true, or p itself and false when its
// size is outside the limits or compression saves too little.
func Compress(p []byte) ([]byte, bool) {
	if len(p) < minCompressBytes || len(p) > maxDecompressedBytes {
		return p, false
	}
	frame := encoder.EncodeAll(p, make([]byte, 0, len(p)))
	if len(frame) > len(p)-len(p)/minSavingDivisor {
		return p, false
	}
	return frame, true
}

// Decompress returns the content of one frame made by Compress. It fails with
// fault.DataCorrupt.
func Decompress(frame []byte) ([]byte, error) {
	p, err := decoder.DecodeAll(frame, nil)
	return p, fault.Wrap(fault.DataCorrupt, err, "decompress")
}
