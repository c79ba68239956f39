/** Sessions between entries: membership and relayed changes. */
package org.merlinwood.gateway.peer;
