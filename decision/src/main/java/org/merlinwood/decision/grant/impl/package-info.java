/** Internals of the grant book. */
package org.merlinwood.decision.grant.impl;
