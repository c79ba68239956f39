/** The callers' side: completions, plain calls and idempotency keys over HTTP. */
package org.merlinwood.proving.caller;
