/** Follows the configuration store, which can only be read, and the copies that peers hold of it. */
package org.merlinwood.gateway.follow;
