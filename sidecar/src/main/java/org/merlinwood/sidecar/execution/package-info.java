/** Execution of granted work: the request to the upstream, and the response to the entry. */
package org.merlinwood.sidecar.execution;
