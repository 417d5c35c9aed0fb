package message

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/failure"
)

// Limits of a frame, in bytes or items. A frame above a limit is malformed.
const (
	// MaximumPayload is the largest payload in bytes.
	MaximumPayload = 8 << 20
	// maximumLists is the largest size in memory of the lists in one frame, without what their strings and byte slices
	// refer to, which is a part of the payload. An empty string takes one byte of the payload and sixteen in memory.
	maximumLists = 2 * MaximumPayload
	// MaximumItems is the largest number of items in a list. A sender must not send a longer one.
	MaximumItems = 1 << 16
	// magic is the first field of each frame.
	magic = 0x5374
	// protocolVersion is the version of the frame format, the messages and the acknowledgement of frames. A node
	// rejects frames of another version.
	protocolVersion = 4
)

// Header precedes the payload of each frame. It is encoded in big-endian order.
type Header struct {
	Magic    uint16
	Protocol uint8
	Kind     Kind
	Length   uint32
	Checksum uint64
}

// HeaderSize is the encoded size of a Header in bytes.
const HeaderSize = 16

// Encode returns the frame of a message: its header followed by its payload.
func Encode(m Message) []byte {
	c := codec{buffer: make([]byte, HeaderSize, 256)}
	m.fields(&c)
	payload := c.buffer[HeaderSize:]
	header := Header{Magic: magic, Protocol: protocolVersion, Kind: m.Kind(), Length: uint32(len(payload)), Checksum: xxhash.Sum64(payload)}
	if _, err := binary.Encode(c.buffer[:HeaderSize], binary.BigEndian, header); err != nil {
		panic("message: frame header is not of fixed size: " + err.Error())
	}
	return c.buffer
}

// DecodeHeader decodes and checks the header of a frame. Its errors have the code MALFORMED.
func DecodeHeader(encoded []byte) (Header, error) {
	var header Header
	if _, err := binary.Decode(encoded, binary.BigEndian, &header); err != nil {
		return header, failure.Wrap(err, failure.Malformed, "frame header is truncated")
	}
	if header.Magic != magic || header.Protocol != protocolVersion {
		return header, failure.New(failure.Malformed, "frame header has a wrong magic number or an unsupported protocol version")
	}
	if header.Length > MaximumPayload {
		return header, failure.New(failure.Malformed, "frame payload exceeds the size limit")
	}
	return header, nil
}

// DecodePayload checks the payload of a frame and decodes the message. Its errors have the code MALFORMED.
func DecodePayload(header Header, payload []byte) (Message, error) {
	if uint32(len(payload)) != header.Length || xxhash.Sum64(payload) != header.Checksum {
		return nil, failure.New(failure.Malformed, "frame payload does not match the length or the checksum in its header")
	}
	m := newMessage(header.Kind)
	if m == nil {
		return nil, failure.New(failure.Malformed, "frame header has an unknown message kind")
	}
	c := codec{buffer: payload, reading: true}
	m.fields(&c)
	if c.failed || len(c.buffer) != 0 {
		return nil, failure.New(failure.Malformed, "frame payload cannot be decoded as a message of its kind")
	}
	return m, nil
}
