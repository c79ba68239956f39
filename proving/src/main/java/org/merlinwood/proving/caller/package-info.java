/** The side of the caller: completions, plain requests and idempotency keys over HTTP. */
package org.merlinwood.proving.caller;
