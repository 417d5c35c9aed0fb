package message

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/failure"
)

// Limits of a frame, in bytes or items. A frame over a limit is malformed.
const (
	// MaximumPayload bounds the memory one frame can ask for.
	MaximumPayload = 8 << 20
	// MaximumItems bounds a list; what is longer must not be sent.
	MaximumItems = 1 << 16
	// magic begins each frame.
	magic = 0x5374
	// protocol is the version of all that follows, the acknowledgement of frames among it. Nodes of another version refuse the frame.
	protocol = 4
)

// Header precedes every frame, big endian.
type Header struct {
	Magic    uint16
	Protocol uint8
	Kind     Kind
	Length   uint32
	Checksum uint64
}

// HeaderSize is the encoded size of a Header in bytes.
const HeaderSize = 16

// Encode returns the frame of a message: header, then payload.
func Encode(m Message) []byte {
	c := codec{buffer: make([]byte, HeaderSize, 256)}
	m.fields(&c)
	payload := c.buffer[HeaderSize:]
	header := Header{Magic: magic, Protocol: protocol, Kind: m.Kind(), Length: uint32(len(payload)), Checksum: xxhash.Sum64(payload)}
	if _, err := binary.Encode(c.buffer[:HeaderSize], binary.BigEndian, header); err != nil {
		panic("message: header is not of fixed size: " + err.Error())
	}
	return c.buffer
}

// DecodeHeader checks and returns the header of a frame. Errors are of code MALFORMED.
func DecodeHeader(encoded []byte) (Header, error) {
	var header Header
	if _, err := binary.Decode(encoded, binary.BigEndian, &header); err != nil {
		return header, failure.Wrap(err, failure.Malformed, "frame header is short")
	}
	if header.Magic != magic || header.Protocol != protocol {
		return header, failure.New(failure.Malformed, "frame header has another magic or protocol")
	}
	if header.Length > MaximumPayload {
		return header, failure.New(failure.Malformed, "frame is over the size limit")
	}
	return header, nil
}

// DecodePayload checks the payload of a frame and returns its message. Errors are of code MALFORMED.
func DecodePayload(header Header, payload []byte) (Message, error) {
	if uint32(len(payload)) != header.Length || xxhash.Sum64(payload) != header.Checksum {
		return nil, failure.New(failure.Malformed, "frame length or checksum does not match")
	}
	m := newMessage(header.Kind)
	if m == nil {
		return nil, failure.New(failure.Malformed, "frame is of unknown kind")
	}
	c := codec{buffer: payload, reading: true}
	m.fields(&c)
	if c.failed || len(c.buffer) != 0 {
		return nil, failure.New(failure.Malformed, "frame payload does not fit its kind")
	}
	return m, nil
}
