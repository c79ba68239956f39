/** Measures the latency that entry and sidecar add to a request, and the time until processes are ready. */
package org.merlinwood.proving.overhead;
