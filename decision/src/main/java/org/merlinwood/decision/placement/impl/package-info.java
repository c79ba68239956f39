/** Internals of placement. */
package org.merlinwood.decision.placement.impl;
