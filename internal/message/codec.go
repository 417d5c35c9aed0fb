package message

import (
	"encoding/binary"
	"unsafe"
)

// codec reads or writes the fields of a message. A message lists its fields once, in its method fields, for both
// directions.
type codec struct {
	buffer  []byte
	reading bool
	failed  bool
	// listBytes is the memory in bytes that the lists which were read take.
	listBytes int
}

func (c *codec) consume(size int) []byte {
	if c.failed || size < 0 || size > len(c.buffer) {
		c.failed = true
		return nil
	}
	consumed := c.buffer[:size]
	c.buffer = c.buffer[size:]
	return consumed
}

// fixed reads or writes a value of fixed size in the layout of encoding/binary: an integer, a bool or a struct of
// these.
func (c *codec) fixed(value any) {
	if !c.reading {
		appended, err := binary.Append(c.buffer, binary.BigEndian, value)
		if err != nil {
			panic("message: field is not of fixed size: " + err.Error())
		}
		c.buffer = appended
		return
	}
	if consumed := c.consume(binary.Size(value)); consumed != nil {
		if _, err := binary.Decode(consumed, binary.BigEndian, value); err != nil {
			c.failed = true
		}
	}
}

func (c *codec) uint8(value *uint8) {
	if !c.reading {
		c.buffer = append(c.buffer, *value)
		return
	}
	if consumed := c.consume(1); consumed != nil {
		*value = consumed[0]
	}
}

func (c *codec) uint32(value *uint32) {
	if !c.reading {
		c.buffer = binary.BigEndian.AppendUint32(c.buffer, *value)
		return
	}
	if consumed := c.consume(4); consumed != nil {
		*value = binary.BigEndian.Uint32(consumed)
	}
}

func (c *codec) uint64(value *uint64) {
	if !c.reading {
		c.buffer = binary.BigEndian.AppendUint64(c.buffer, *value)
		return
	}
	if consumed := c.consume(8); consumed != nil {
		*value = binary.BigEndian.Uint64(consumed)
	}
}

// optionalUint64 reads or writes the last field of a message, which nodes of an earlier release do not know. It is left
// out if it is 0.
func (c *codec) optionalUint64(value *uint64) {
	if c.reading && len(c.buffer) == 0 || !c.reading && *value == 0 {
		return
	}
	c.uint64(value)
	if *value == 0 {
		c.failed = true
	}
}

// varint reads or writes a number that is usually small, in the varint encoding of encoding/binary with seven bits
// per byte. An encoding longer than necessary is malformed.
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
	c.consume(size)
	*value = number
}

// length reads or writes the length of the string, byte slice or list that follows.
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
	if consumed := c.consume(length); len(consumed) > 0 {
		*value = append([]byte(nil), consumed...)
	}
}

func (c *codec) string(value *string) {
	length := c.length(len(*value))
	if !c.reading {
		c.buffer = append(c.buffer, *value...)
		return
	}
	*value = string(c.consume(length))
}

// list reads or writes a slice: first its length, then each item by calling walk.
func list[Item any](c *codec, items *[]Item, walk func(*codec, *Item)) {
	length := c.length(len(*items))
	if c.reading {
		// Each item takes at least one byte, so a length above the number of remaining bytes is malformed.
		if length > MaximumItems || length > len(c.buffer) {
			c.failed = true
			return
		}
		var item Item
		c.listBytes += length * int(unsafe.Sizeof(item))
		if c.listBytes > maximumLists {
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
