/** Filters that identify and classify requests before they are placed. They perform no I/O. */
package org.merlinwood.entry.filter;
