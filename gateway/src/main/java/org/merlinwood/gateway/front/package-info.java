/** Accepts requests from callers and processes each of them until its response is complete. */
package org.merlinwood.gateway.front;
