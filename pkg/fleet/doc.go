// Package fleet holds the data model of an entry daemon: routes, services, models and their registered backend
// servers.
//
// The types do not depend on any external format; adapters decode external formats into them.
package fleet
