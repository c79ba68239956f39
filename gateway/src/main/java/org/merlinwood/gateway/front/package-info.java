/** The side of the entry that callers speak to, and the course of each request. */
package org.merlinwood.gateway.front;
