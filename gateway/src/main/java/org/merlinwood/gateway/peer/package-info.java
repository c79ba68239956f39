/** Sessions between entries, which exchange membership, status and changes of the configuration store. */
package org.merlinwood.gateway.peer;
