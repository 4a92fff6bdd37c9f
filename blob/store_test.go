package blob

import (
	"bytes"
	"crypto/sha256"
	"io"
	"os"
	"testing"

	"pgregory.net/rapid"

	"amaranthpaddle/fault"
)

func put(t interface{ Fatal(...any) }, s *Store, content []byte) (Digest, error) {
	w, err := s.Create(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if _, err := w.Write(content); err != nil {
		return Digest{}, err
	}
	return w.Commit(Digest{})
}

func TestStoreReturnsBodiesWithinSizeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := Open("", 3<<20)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		for i := range rapid.IntRange(1, 12).Draw(t, "bodies") {
			content := bytes.Repeat([]byte{byte(i)}, rapid.IntRange(1, 1<<20).Draw(t, "size"))
			digest, err := put(t, s, content)
			if err != nil {
				t.Fatal(err)
			}
			if s.Bytes() > 3<<20 {
				t.Fatalf("the store holds %d bytes", s.Bytes())
			}
			reader, _, err := s.Get(digest)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(reader)
			_ = reader.Close()
			if err != nil || !bytes.Equal(got, content) {
				t.Fatalf("read %d bytes of %d: %v", len(got), len(content), err)
			}
		}
	})
}

func TestReopenedStoreFindsBodiesAndRejectsCorruptOnes(t *testing.T) {
	dir := t.TempDir()
	first, err := Open(dir, 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	digest, err := put(t, first, []byte("stall rights"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Open(dir, 3<<20)
	if err != nil || !second.Has(digest) {
		t.Fatalf("the body was not found after reopening the store: %v", err)
	}
	if err := os.WriteFile(second.path(digest), []byte("stall wrongs"), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, _, err := second.Get(digest)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	if _, err := io.ReadAll(reader); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("reading a corrupt body: got %v, want DataCorrupt", err)
	}
	if second.Has(digest) {
		t.Error("a corrupt body is still in the store")
	}
}

func TestWriterRejectsWrongDigestAndBodyPastLimit(t *testing.T) {
	s, err := Open("", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	w, err := s.Create(100)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	_, _ = w.Write([]byte("a"))
	if _, err := w.Commit(sha256.Sum256([]byte("b"))); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("commit with a wrong digest: got %v, want DataCorrupt", err)
	}
	if _, err := w.Write(make([]byte, 100)); !fault.Is(err, fault.TooLarge) {
		t.Errorf("write past the limit: got %v, want TooLarge", err)
	}
}

func TestCompressRoundTripsOrReturnsDataUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "piece")
		frame, compressed := Compress(p)
		if !compressed {
			if !bytes.Equal(frame, p) {
				t.Fatal("uncompressed data was changed")
			}
			return
		}
		got, err := Decompress(frame)
		if err != nil || !bytes.Equal(got, p) || len(frame) >= len(p) {
			t.Fatalf("decompressed %d bytes, want %d: %v", len(got), len(p), err)
		}
	})
}
