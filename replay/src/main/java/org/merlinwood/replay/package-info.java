/** Replays recorded traces in virtual time with the decision code that the entry and the sidecar use. */
package org.merlinwood.replay;
