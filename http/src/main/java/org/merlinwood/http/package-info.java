/** HTTP/1.1 client with size limits for responses, streaming and cancellation, built on Undertow's client. */
package org.merlinwood.http;
