/** Decoded requests of callers. */
package org.merlinwood.gateway.request;
