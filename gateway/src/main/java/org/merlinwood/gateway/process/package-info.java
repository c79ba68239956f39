/** One entry as a process: its settings, its parts, its start and its end. */
package org.merlinwood.gateway.process;
