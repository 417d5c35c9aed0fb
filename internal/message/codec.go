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
	magic        = 0x5374
	// protocol 2: lengths and revisions are of variable size. 3: frames are acknowledged, and records say nothing of what their sender thinks of the
	// store. 4: revisions of the store have eras, digests tell the configuration in force.
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

// codec walks the fields of a message, writing them or reading them, so that both ways share one list of fields.
type codec struct {
	buffer  []byte
	reading bool
	failed  bool
}

func (c *codec) take(size int) []byte {
	if c.failed || size < 0 || size > len(c.buffer) {
		c.failed = true
		return nil
	}
	taken := c.buffer[:size]
	c.buffer = c.buffer[size:]
	return taken
}

// fixed walks a fixed-size value: an integer, a bool or a struct of these, as encoding/binary lays it out.
func (c *codec) fixed(value any) {
	if !c.reading {
		appended, err := binary.Append(c.buffer, binary.BigEndian, value)
		if err != nil {
			panic("message: field is not of fixed size: " + err.Error())
		}
		c.buffer = appended
		return
	}
	if taken := c.take(binary.Size(value)); taken != nil {
		if _, err := binary.Decode(taken, binary.BigEndian, value); err != nil {
			c.failed = true
		}
	}
}

func (c *codec) uint8(value *uint8) {
	if !c.reading {
		c.buffer = append(c.buffer, *value)
		return
	}
	if taken := c.take(1); taken != nil {
		*value = taken[0]
	}
}

func (c *codec) uint32(value *uint32) {
	if !c.reading {
		c.buffer = binary.BigEndian.AppendUint32(c.buffer, *value)
		return
	}
	if taken := c.take(4); taken != nil {
		*value = binary.BigEndian.Uint32(taken)
	}
}

func (c *codec) uint64(value *uint64) {
	if !c.reading {
		c.buffer = binary.BigEndian.AppendUint64(c.buffer, *value)
		return
	}
	if taken := c.take(8); taken != nil {
		*value = binary.BigEndian.Uint64(taken)
	}
}

// varint walks a number that is mostly small: seven bits a byte, as encoding/binary lays them out. A longer form than needed is
// malformed.
func (c *codec) varint(value *uint64) {
	if !c.reading {
		c.buffer = binary.AppendUvarint(c.buffer, *value)
		return
	}
	number, size := binary.Uvarint(c.buffer)
	if size <= 0 || len(binary.AppendUvarint(nil, number)) != size {
		c.failed = true
		return
	}
	c.take(size)
	*value = number
}

// length walks the length of what follows.
func (c *codec) length(of int) int {
	length := uint64(of)
	c.varint(&length)
	if length > MaximumPayload {
		c.failed = true
		return 0
	}
	return int(length)
}

func (c *codec) int64(value *int64) {
	raw := uint64(*value)
	c.uint64(&raw)
	*value = int64(raw)
}

func (c *codec) bool(value *bool) {
	var raw uint8
	if *value {
		raw = 1
	}
	c.uint8(&raw)
	*value = raw == 1
	if raw > 1 {
		c.failed = true
	}
}

func (c *codec) bytes(value *[]byte) {
	length := c.length(len(*value))
	if !c.reading {
		c.buffer = append(c.buffer, *value...)
		return
	}
	if taken := c.take(length); len(taken) > 0 {
		*value = append([]byte(nil), taken...)
	}
}

func (c *codec) string(value *string) {
	length := c.length(len(*value))
	if !c.reading {
		c.buffer = append(c.buffer, *value...)
		return
	}
	*value = string(c.take(length))
}

// list walks a slice: its length, then each item with walk.
func list[Item any](c *codec, items *[]Item, walk func(*codec, *Item)) {
	length := c.length(len(*items))
	if c.reading {
		// An item takes a byte at least, so a longer list than bytes left is malformed.
		if length > MaximumItems || length > len(c.buffer) {
			c.failed = true
			return
		}
		*items = nil
		if length > 0 {
			*items = make([]Item, length)
		}
	}
	for i := range *items {
		if c.failed {
			return
		}
		walk(c, &(*items)[i])
	}
}

func walkUint32(c *codec, value *uint32) { c.uint32(value) }

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
