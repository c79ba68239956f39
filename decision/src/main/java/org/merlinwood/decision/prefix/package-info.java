/** Prompt prefixes as chained hashes, and a bounded index of the instances that may have them cached. */
package org.merlinwood.decision.prefix;
