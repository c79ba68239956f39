/**
 * The entry, the process that receives the requests of callers: command line, assembly of its components and life
 * cycle.
 */
package org.merlinwood.entry;
