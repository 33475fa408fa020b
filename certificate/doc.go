// Package certificate loads the TLS certificates of a listener or of the peer
// connections and reloads the files when they change, without a restart.
package certificate
