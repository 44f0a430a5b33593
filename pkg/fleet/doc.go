// Package fleet holds what an entry daemon knows about routes, services and their backend servers.
//
// All types are values in the product's own terms. Adapters decode foreign formats into them.
package fleet
