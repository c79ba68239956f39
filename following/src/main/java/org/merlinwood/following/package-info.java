/**
 * Keeps a process on the highest valid revision of the inventory and the rules. Revisions are fetched from the
 * configuration service and from peers.
 */
package org.merlinwood.following;
