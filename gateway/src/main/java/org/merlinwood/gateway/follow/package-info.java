/** Keeps a local copy of the read-only configuration store, updated from the store and from peers. */
package org.merlinwood.gateway.follow;
