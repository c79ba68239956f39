/** Measurements of replays and the bounds that they are held to. */
package org.merlinwood.replay.measure;
