/** Reads responses byte by byte and accepts only what the grammar of HTTP/1.1 allows. Knows no connection. */
package org.merlinwood.http.impl.response;
