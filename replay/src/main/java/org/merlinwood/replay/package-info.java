/** Replay of recorded traces in virtual time, with the decisions that the processes use. */
package org.merlinwood.replay;
