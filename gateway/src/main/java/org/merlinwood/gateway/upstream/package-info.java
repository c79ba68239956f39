/** Requests to upstream instances and their responses, independent of the wire format. */
package org.merlinwood.gateway.upstream;
