/** Start and end of a process. */
package org.merlinwood.operation.lifecycle;
