// Command stand-3 plays the cases of the third review. It starts instances of
// lovagecrank as separate processes on loopback, with the command of the deploy
// file, and stand-ins for the platform's store, its workers and its clients. The
// stand-ins follow the users' pages; where these are silent, they are sound.
//
//	stand-3 CASE DIRECTORY
//
// It runs in the root of the repository and writes DIRECTORY/record.txt. It exits
// with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment, the disruption is left out.
package main
