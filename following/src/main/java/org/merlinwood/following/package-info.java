/**
 * Keeps a process on the highest valid revision of inventory and rules, from the configuration service and from peers.
 */
package org.merlinwood.following;
