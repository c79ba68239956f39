/** Starts, stops, kills and freezes the processes of a fleet on the loopback interface. */
package org.merlinwood.proving.fleet;
