/**
 * Readers and writers of inventory, rules and settings, which are JSON with comments.
 *
 * <p>A document is accepted or rejected as a whole, and on its own text alone, so that all processes come to the same
 * result. Checks that need both inventory and rules are made by
 * {@link org.merlinwood.configuration.document.CrossCheck}; their findings are no reason to reject a document.
 */
package org.merlinwood.configuration.document;
