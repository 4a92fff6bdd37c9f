package control

import (
	"github.com/klauspost/compress/zstd"

	"amaranthpaddle/fault"
	"amaranthpaddle/plan"
)

// A plan of a whole day may exceed what one log entry can hold, so it travels
// compressed.
var (
	planEncoder = mustEncoder()
	planDecoder = mustDecoder()
)

func mustEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err)
	}
	return encoder
}

func mustDecoder() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(plan.MaxEncodedBytes))
	if err != nil {
		panic(err)
	}
	return decoder
}

// compressPlan compresses an encoded plan.
func compressPlan(data []byte) []byte { return planEncoder.EncodeAll(data, nil) }

// decompressPlan reverses compressPlan. It refuses plans above plan.MaxEncodedBytes.
func decompressPlan(data []byte) ([]byte, error) {
	plain, err := planDecoder.DecodeAll(data, nil)
	return plain, fault.Wrap(fault.InvalidArgument, err, "decompress plan")
}
