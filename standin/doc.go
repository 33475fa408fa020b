// Package standin implements stand-ins: small in-memory fakes of the platform
// and of endpoints, as HTTP handlers. They are for tests, the trial and trying
// out the program. docs/PROTOCOLS.md specifies the interfaces.
//
// A stand-in has settings that inject faults, which may change at any time, and
// counters for tests. The endpoint computes real results, which tests can verify.
package standin
