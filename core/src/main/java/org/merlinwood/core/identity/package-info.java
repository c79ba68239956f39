/** Typed names and identifiers, used instead of plain strings and numbers between modules. */
package org.merlinwood.core.identity;
