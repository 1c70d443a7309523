package budget

import (
	"errors"
	"io"
	"slices"
)

// blockBytes is the length of the blocks in which a body is read.
const blockBytes = 64 << 10

// ReadAll reads a body to its end. The bytes are charged by the reader itself, which Handler puts in place. The blocks are joined at the
// end, since a growing buffer would leave copies of the body behind; a takes the second copy for that time.
func ReadAll(a *Account, r io.Reader) ([]byte, error) {
	var blocks [][]byte
	length, size := 0, 512 // most bodies are small
	for {
		block := make([]byte, size)
		n, err := readFull(r, block)
		blocks, length = append(blocks, block[:n]), length+n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		size = min(4*size, blockBytes)
	}
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	if err := a.Take(int64(length)); err != nil {
		return nil, err
	}
	defer a.Release(int64(length))
	return slices.Concat(blocks...), nil
}

// readFull fills block unless r fails before. Unlike io.ReadFull it returns r's own error, since io.ErrUnexpectedEOF
// means that a body was cut.
func readFull(r io.Reader, block []byte) (int, error) {
	for n := 0; n < len(block); {
		m, err := r.Read(block[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return len(block), nil
}
