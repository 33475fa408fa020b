// Package job defines jobs and the results that callers get for them.
package job
