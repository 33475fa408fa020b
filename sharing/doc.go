// Package sharing divides the waiting tasks of one instance, their home, among the
// instances that hold endpoints. A holder's share says for how many of the tasks it
// may offer slots that become free there.
//
// The package has no clock, and sends nothing: its user reports the offers and
// passes on the shares that have changed. docs/design/SHARING.md has the reasons.
package sharing
