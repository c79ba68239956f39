/** Measures what entry and sidecar add to a call, and how long the processes take to become ready. */
package org.merlinwood.proving.overhead;
