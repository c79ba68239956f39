/** One execution under a grant, from the call to the upstream to the end of the exchange. */
package org.merlinwood.sidecar.execution;
