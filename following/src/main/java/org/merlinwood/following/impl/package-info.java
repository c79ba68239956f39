/** Internals of following: watches, peers, deltas, and the control state that ties them together. */
package org.merlinwood.following.impl;
