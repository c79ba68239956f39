/** Prefixes of prompts as chains of hashes, and a bounded index of which instance may hold them. */
package org.merlinwood.decision.prefix;
