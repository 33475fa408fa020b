// Package settings reads and checks the settings file of an instance. Every
// setting is a row of one table, from which docs/SETTINGS.md is generated.
package settings
