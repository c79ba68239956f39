/** Logs and decisions as JSON, one object per line. */
package org.merlinwood.operation.log;
