/** The routing policies that a replay compares: the decision code of the product and the baselines. */
package org.merlinwood.replay.policy;
