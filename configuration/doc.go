// Package configuration manages the versioned configuration document that
// operators change: classes, targets and quotas. The platform's table stores
// it.
package configuration
