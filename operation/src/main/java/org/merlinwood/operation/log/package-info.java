/** Logs as JSON lines on standard error. */
package org.merlinwood.operation.log;
