// Package team defines teams and enforces their quotas. It also computes the
// weights by which teams share capacity.
package team
