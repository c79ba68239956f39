/** Implementation of placement: candidate selection, scores and per-instance estimates. */
package org.merlinwood.decision.placement.impl;
