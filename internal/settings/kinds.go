package settings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Descriptions of the allowed values of some kinds of setting, as problems quote them.
const (
	addressAllowed = "an IP address and port, as 127.0.0.1:7000"
	booleanAllowed = "true or false"
)

// Each of the generic functions below returns the setter of a kind of setting. The setter parses the value into the
// field to which target points and reports whether the value is allowed.

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

func address[T any](target func(*T) *string) func(*T, string) bool {
	return func(s *T, value string) bool {
		*target(s) = value
		return isAddress(value)
	}
}

func name[T any](target func(*T) *string) func(*T, string) bool {
	const maximumLength = 32
	return func(s *T, value string) bool {
		*target(s) = value
		return value != "" && len(value) <= maximumLength && !strings.ContainsAny(value, " \t/")
	}
}

func integer[T any](minimum, maximum int, target func(*T) *int) func(*T, string) bool {
	return func(s *T, value string) bool {
		number, err := strconv.Atoi(value)
		*target(s) = number
		return err == nil && number >= minimum && number <= maximum
	}
}

func share[T any](target func(*T) *float64) func(*T, string) bool {
	return fraction(0, 1, target)
}

func fraction[T any](minimum, maximum float64, target func(*T) *float64) func(*T, string) bool {
	return func(s *T, value string) bool {
		number, err := strconv.ParseFloat(value, 64)
		*target(s) = number
		return err == nil && number >= minimum && number <= maximum
	}
}

func duration[T any](minimum, maximum time.Duration, target func(*T) *time.Duration) func(*T, string) bool {
	return func(s *T, value string) bool {
		length, err := time.ParseDuration(value)
		*target(s) = length
		return err == nil && length >= minimum && length <= maximum
	}
}

func addresses[T any](target func(*T) *[]string) func(*T, string) bool {
	return func(s *T, value string) bool {
		list := target(s)
		*list = nil
		for _, address := range strings.Split(value, ",") {
			address = strings.TrimSpace(address)
			if !isAddress(address) {
				return false
			}
			*list = append(*list, address)
		}
		return true
	}
}

func logLevel[T any](target func(*T) *string) func(*T, string) bool {
	return func(s *T, value string) bool {
		*target(s) = value
		return value == "debug" || value == "info" || value == "warn" || value == "error"
	}
}

func boolean[T any](target func(*T) *bool) func(*T, string) bool {
	return func(s *T, value string) bool {
		*target(s) = value == "true"
		return value == "true" || value == "false"
	}
}
