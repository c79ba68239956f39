/** Measurements of replays and the bounds that they are checked against. */
package org.merlinwood.replay.measure;
