/**
 * Fakes that surround the decision code in a replay: engines with their sidecars, links, delayed load reports and
 * virtual time.
 */
package org.merlinwood.replay.fake;
