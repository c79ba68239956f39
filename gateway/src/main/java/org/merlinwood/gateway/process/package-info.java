/** Composition and life cycle of an entry process. */
package org.merlinwood.gateway.process;
