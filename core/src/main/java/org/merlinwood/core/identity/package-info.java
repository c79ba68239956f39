/** Typed names and numbers, so that no bare string or number crosses a module boundary. */
package org.merlinwood.core.identity;
