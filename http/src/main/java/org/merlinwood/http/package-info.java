/** HTTP client calls with bounded answers, streaming and cancellation, on Undertow's client. */
package org.merlinwood.http;
