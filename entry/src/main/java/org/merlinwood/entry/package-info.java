/** The process that callers speak to: its command line, its parts put together, its life. */
package org.merlinwood.entry;
