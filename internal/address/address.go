// Package address checks the addresses that other programs state.
package address

import (
	"fmt"
	"net/netip"
)

// Check returns an error if nothing can listen at the address.
func Check(a netip.AddrPort) error {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("%s is not the address of a listener", a)
	}
	return nil
}
