// Package httpclient sends HTTP/1.1 requests with small bodies to many hosts over
// connections that it keeps open.
//
// Each request is written and its response read in the goroutine of the caller. The
// transport of net/http uses two more goroutines for each connection, whose
// switches cost a small instance more processor time than the exchange itself.
package httpclient
