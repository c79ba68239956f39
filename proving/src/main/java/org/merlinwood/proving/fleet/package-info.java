/** Starts, stops, kills and freezes the processes of one fleet on the loopback interface. */
package org.merlinwood.proving.fleet;
