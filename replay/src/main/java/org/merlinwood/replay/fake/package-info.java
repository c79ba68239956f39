/** Small fakes at the interfaces of the decisions: engines with their sidecars, links, lagging load, virtual time. */
package org.merlinwood.replay.fake;
