/** Single-threaded executor that owns the control state of a process. */
package org.merlinwood.operation.control;
