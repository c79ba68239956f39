/** The callers' side on Undertow: reads requests, writes answers, notices callers that have gone. */
package org.merlinwood.entry.caller;
