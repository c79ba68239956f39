/**
 * Reading of inventory, rules and settings from JSON with comments.
 *
 * <p>A document is judged whole and on its own text alone, so that every process judges alike. What needs both
 * documents is a finding of {@link org.merlinwood.configuration.document.ConsistencyCheck}, never a reason to reject.
 */
package org.merlinwood.configuration.document;
