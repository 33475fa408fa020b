// Package storage describes the platform's services as the program sees
// them: a transactional table, an object store and lists of instances and
// endpoints. Decision code produces calls; an adapter carries them out.
package storage
