/** One request of a caller, decoded. */
package org.merlinwood.gateway.request;
