package paths

import (
	"errors"
	"fmt"
)

// Error means that no path reached an endpoint. No byte was sent.
type Error struct {
	Address string
	// Direct is the error of the direct path; nil if that path is known to be lost and was not tried.
	Direct error
	// Asked is the number of other boxes that were tried, and Denied how many of them connected in vain themselves.
	Asked, Denied int
	// Known means that nothing was tried, because the endpoint was found to be unreachable a moment ago.
	Known bool
	// confirmed means that Direct is the state of the endpoint, and not only of this box's path.
	confirmed bool
}

func (e *Error) Error() string {
	if e.Known {
		return fmt.Sprintf("%s is unreachable on all paths", e.Address)
	}
	return fmt.Sprintf("%s is unreachable: direct: %v; %d of %d other boxes connected in vain", e.Address, e.Direct, e.Denied, e.Asked)
}

// Unwrap returns the error of the direct path if it says something about the endpoint: another box found the same, or
// there is no other box.
func (e *Error) Unwrap() error {
	if e.confirmed {
		return e.Direct
	}
	return nil
}

// Confirmed reports whether an error of Dial says something about the endpoint, and not only about this box's path.
func Confirmed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.confirmed
}
