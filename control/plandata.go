package control

import (
	"github.com/klauspost/compress/zstd"

	"amaranthpaddle/fault"
	"amaranthpaddle/plan"
)

// compressPlan compresses an encoded plan, because the plan of a whole day may be
// larger than one log entry.
func compressPlan(data []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress plan")
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil), nil
}

// decompressPlan reverses compressPlan. It refuses plans above plan.MaxEncodedBytes.
func decompressPlan(data []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(plan.MaxEncodedBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decompress plan")
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	return plain, fault.Wrap(fault.InvalidArgument, err, "decompress plan")
}
